// Wire format of the state of daemons and cells. A heartbeat goes to every daemon about twice a
// second, so its lists are stored as columns: each field name is written once per message instead
// of once per team.
#include "codec_parts.hpp"

namespace cranberrydock::mesh::detail {
namespace {

json write_cells(const std::vector<owned_cell>& cells) {
    json names = json::array();
    json epochs = json::array();
    for (const auto& it : cells) {
        names.push_back(it.cell.str());
        epochs.push_back(it.epoch.value());
    }
    return {{"names", std::move(names)}, {"epochs", std::move(epochs)}};
}

std::vector<owned_cell> read_cells(object_reader in) {
    const auto names = in.texts<base::cell_id>("names");
    const auto epochs = in.quantities<base::epoch>("epochs");
    std::vector<owned_cell> out;
    if (names.size() != epochs.size()) {
        in.fault("epochs", "as many as names", std::to_string(epochs.size()));
        return out;
    }
    for (std::size_t i = 0; i < names.size(); ++i) {
        out.push_back({names[i], epochs[i]});
    }
    return out;
}

json write_usage(const std::vector<team_usage>& usage) {
    json teams = json::array();
    json running = json::array();
    json queued = json::array();
    for (const auto& it : usage) {
        teams.push_back(it.team.str());
        running.push_back(it.running.value());
        queued.push_back(it.queued.value());
    }
    return {{"teams", std::move(teams)},
            {"running", std::move(running)},
            {"queued", std::move(queued)}};
}

std::vector<team_usage> read_usage(object_reader in) {
    const auto teams = in.texts<base::team_id>("teams");
    const auto running = in.quantities<base::slot_count>("running");
    const auto queued = in.quantities<base::slot_count>("queued");
    std::vector<team_usage> out;
    if (teams.size() != running.size() || teams.size() != queued.size()) {
        in.fault("running", "as many as teams, like queued", std::to_string(running.size()));
        return out;
    }
    for (std::size_t i = 0; i < teams.size(); ++i) {
        out.push_back({teams[i], running[i], queued[i]});
    }
    return out;
}

}  // namespace

json write_fields(const heartbeat& msg) {
    return {{"version", msg.version.value()},
            {"store", msg.store_reachable},
            {"ready", msg.ready},
            {"owned", write_cells(msg.owned)},
            {"usage", write_usage(msg.usage)}};
}

heartbeat read_heartbeat(object_reader& in) {
    heartbeat out;
    out.version = in.quantity<base::config_version>("version");
    out.store_reachable = in.flag("store");
    out.ready = in.flag("ready");
    out.owned = read_cells(in.object("owned"));
    out.usage = read_usage(in.object("usage"));
    return out;
}

json write_fields(const hold_off_request& msg) {
    return {{"call", msg.call.value()}, {"cells", write_cells(msg.cells)}};
}

hold_off_request read_hold_off_request(object_reader& in) {
    hold_off_request out;
    out.call = in.quantity<call_id>("call");
    out.cells = read_cells(in.object("cells"));
    return out;
}

json write_fields(const hold_off_answer& msg) {
    return {{"call", msg.call.value()}, {"given", msg.granted}, {"lasting", msg.duration.count()}};
}

hold_off_answer read_hold_off_answer(object_reader& in) {
    hold_off_answer out;
    out.call = in.quantity<call_id>("call");
    out.granted = in.flag("given");
    out.duration = in.millis("lasting");
    return out;
}

json write_fields(const cells_offered& msg) {
    return {{"cells", write_cells(msg.cells)}};
}

cells_offered read_cells_offered(object_reader& in) {
    return {read_cells(in.object("cells"))};
}

json write_fields(const config_announcement& msg) {
    return {{"version", msg.version.value()}, {"document", binary(msg.document)}};
}

config_announcement read_config_announcement(object_reader& in) {
    config_announcement out;
    out.version = in.quantity<base::config_version>("version");
    out.document = in.bytes("document");
    return out;
}

}  // namespace cranberrydock::mesh::detail
