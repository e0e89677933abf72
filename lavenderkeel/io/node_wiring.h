#ifndef LAVENDERKEEL_IO_NODE_WIRING_H_
#define LAVENDERKEEL_IO_NODE_WIRING_H_

#include <functional>
#include <string>
#include <utility>

#include "lavenderkeel/io/peer_port.h"

namespace lavenderkeel {

/// Passes the events of a PeerPort to a node.
///
/// @param execute_actions called after each event, to execute what the node
///     decided
template <typename Node>
void WirePeers(PeerPort& peers,
               Node& node,
               std::function<void()> execute_actions) {
  peers.signal_up().connect(
      [&node, execute_actions](LinkId link, const InstanceInfo& peer,
                               const std::string& dialed) {
        if (!node.OnLinkUp(link, peer, dialed) && !dialed.empty()) {
          node.OnDialFailed(dialed);
        }
        execute_actions();
      });
  peers.signal_message().connect(
      [&node, execute_actions](LinkId link, Message& message) {
        node.OnMessage(link, std::move(message));
        execute_actions();
      });
  peers.signal_down().connect([&node, execute_actions](LinkId link) {
    node.OnLinkDown(link);
    execute_actions();
  });
  peers.signal_dial_failed().connect(
      [&node, execute_actions](const std::string& address) {
        node.OnDialFailed(address);
        execute_actions();
      });
}

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_NODE_WIRING_H_
