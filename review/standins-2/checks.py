"""Rules of RULES.md, judged by what the runners have seen."""


def starts_after_noted_done(record):
    """TWICE: a start after a run of the task has ended `done`, if that end is taken note of, and the
    runner's lease did not lapse between the two."""
    done = {}
    for end in record.ends:
        noted = record.acknowledged.get((end["runner"], end["life"], end["task"], end["run"]))
        lapses = record.lapses.get((end["runner"], end["life"]), [])
        if noted is not None and any(end["at"] <= at <= noted for at in lapses):
            continue
        if end["how"] == "done" and noted is not None:
            first = done.get(end["task"])
            if first is None or end["at"] < first["at"]:
                done[end["task"]] = dict(end, noted=noted)
    out = []
    for start in record.starts:
        end = done.get(start["task"])
        if end is not None and start["at"] > end["at"]:
            out.append(
                "TWICE: %s run %d started on %s at %.3f; run %d had ended done on %s at %.3f, "
                "taken note of at %.3f"
                % (start["task"], start["run"], start["runner"], start["at"], end["run"],
                   end["runner"], end["at"], end["noted"]))
    return out
