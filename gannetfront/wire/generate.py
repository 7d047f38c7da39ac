"""Generates the protobuf modules from the .proto files. Needs grpcio-tools, a development dependency only."""

from pathlib import Path

ROOT = Path(__file__).parents[2]
PROTOS = "gannetfront/wire/control.proto", "gannetfront/config/schema.proto"


def generate(output_directory):
    """Writes the modules below `output_directory`; raises SystemExit where protoc fails."""
    import grpc_tools
    from grpc_tools import protoc

    bundled_protos = Path(grpc_tools.__file__).parent / "_proto"
    exit_status = protoc.main(
        [
            "protoc",
            f"-I{ROOT}",
            f"-I{bundled_protos}",
            f"--python_out={output_directory}",
            *(str(ROOT / proto) for proto in PROTOS),
        ]
    )
    if exit_status:
        raise SystemExit("protoc failed")


if __name__ == "__main__":
    generate(ROOT)
