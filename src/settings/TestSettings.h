#ifndef BORAGERIDGE_SETTINGS_TESTSETTINGS_H
#define BORAGERIDGE_SETTINGS_TESTSETTINGS_H

#include <string_view>

namespace borageridge::settings {

/// Complete settings with every key; tests refer to its line numbers.
constexpr std::string_view CompleteSettings = R"([instance]
name = "proxy-1"
availability_zone = "az-1"
caller_address = "127.0.0.1:7001"
peer_address = "127.0.0.1:7101"
admin_address = "127.0.0.1:7201"
metrics_address = "127.0.0.1:7301"
[store]
addresses = ["127.0.0.1:7500"]
prefix = "/borageridge/"
call_timeout_ms = 500
[instance_list]
address = "127.0.0.1:7600"
poll_interval_ms = 1000
[peers]
seeds = ["127.0.0.1:7102"]
exchange_interval_ms = 200
[security]
transport = "plaintext"
token_key_file = "token.key"
callers_file = "callers.toml"
[limits]
max_message_bytes = 1048576
max_metadata_bytes = 8192
max_streams_per_connection = 1000
max_queued_requests = 4096
max_queued_bytes = 67108864
drain_timeout_ms = 10000
[failover]
ping_interval_ms = 100
quick_suspicion_ms = 300
refused_confirmation_ms = 300
silent_confirmation_ms = 1200
minimum_change_interval_ms = 10000
policy = "two_level"
[log]
level = "info"
)";

} // namespace borageridge::settings

#endif // BORAGERIDGE_SETTINGS_TESTSETTINGS_H
