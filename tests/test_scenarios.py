from gannetfront import balance


def test_imports():
    assert balance.GROUPS == 10
