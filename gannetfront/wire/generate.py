"""Makes the codecs from the .proto files; grpcio-tools is needed at development time only."""

from pathlib import Path

ROOT = Path(__file__).parents[2]
PROTOS = "gannetfront/wire/control.proto", "gannetfront/config/schema.proto"


def generate(into):
    import grpc_tools
    from grpc_tools import protoc

    shipped = Path(grpc_tools.__file__).parent / "_proto"
    done = protoc.main(
        ["protoc", f"-I{ROOT}", f"-I{shipped}", f"--python_out={into}", *(str(ROOT / p) for p in PROTOS)]
    )
    if done:
        raise SystemExit("protoc failed")


if __name__ == "__main__":
    generate(ROOT)
