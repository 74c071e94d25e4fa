"""Tests of reading the platform's settings file."""

import os

import pytest
from settings_file import SettingsFile, read_settings

TEXT = """
node_name = "edge-1"
ip = "10.1.0.26"
zone = "z1"
internal_ports = [7560, 7575]
seeds = ["10.1.0.26:8462"]
unknown = [1, 2]
[bind_addrs]
frontend = "10.1.0.26:8465"
ready = "10.1.0.26:8460"
admin = "10.1.0.26:8462"
[limits]
max_fds = 4200
[bounds]
grace_s = 6
drain_ms = 7000
config_apply_ms = 3000
[platform]
address = "10.200.1.7:8466"
[provider]
address = "10.200.0.2:8466"
"""


class TestReading:
    def test_settings(self):
        settings = read_settings(TEXT, 9464)
        assert str(settings.pooler.peer) == "10.1.0.26:7560"
        assert str(settings.pooler.metrics) == "10.1.0.26:9464"
        assert settings.pooler.grace_ms == 6000
        assert settings.pooler.apply_within_ms == 3000
        assert str(settings.store) == "10.200.1.7:8466"

    @pytest.mark.parametrize(
        ("ports", "passing"),
        [("7560, 7575", "10.1.0.26:7575"), ("7560, 7560", "None"), ("7560", "None")],
    )
    def test_port_for_statements_that_are_passed_on(self, ports, passing):
        """Guards against two listeners on one port, when there is only one."""
        settings = read_settings(TEXT.replace("7560, 7575", ports), None)
        assert str(settings.pooler.passing) == passing

    @pytest.mark.parametrize(
        ("before", "after"),
        [
            ("grace_s = 6", 'grace_s = "six"'),
            ("grace_s = 6", ""),
            ("config_apply_ms = 3000", ""),
            ("[limits]", "[limits"),
            ("7560, 7575", ""),
            ("10.1.0.26:8465", "nowhere"),
        ],
    )
    def test_invalid_file_is_rejected(self, before, after):
        with pytest.raises(ValueError):
            read_settings(TEXT.replace(before, after), None)

    @pytest.mark.parametrize(
        "name", ["", "d1 ", "d1\\r\\nX: 1", "d" * 151, "\u00e9" * 76]
    )
    def test_name_that_the_platform_would_misread_is_rejected(self, name):
        """Guards against a daemon that takes a lock and can never promote."""
        with pytest.raises(ValueError, match="name"):
            read_settings(TEXT.replace("edge-1", name), None)

    @pytest.mark.parametrize("name", ["vm 1", "a/b", "\u00e9" * 75])
    def test_name_may_have_other_letters(self, name):
        """Guards against refusing a name that works."""
        settings = read_settings(TEXT.replace("edge-1", name), None)
        assert settings.pooler.name == name


class TestChanges:
    def test_changed_file_is_read_again(self, tmp_path):
        path = tmp_path / "settings.toml"
        path.write_text(TEXT)
        file = SettingsFile(str(path), None)
        file.read()
        assert file.read_if_changed() is None
        path.write_text(TEXT.replace("grace_s = 6", "grace_s = 9"))
        os.utime(path, ns=(1, 1))
        assert file.read_if_changed().grace_ms == 9000
        assert file.read_if_changed() is None
