"""Rules with versions: documents, who may act under which version until when. Pure; see docs/versions.md."""
