#ifndef LAVENDERKEEL_IO_NODE_WIRING_H_
#define LAVENDERKEEL_IO_NODE_WIRING_H_

#include <functional>
#include <string>
#include <utility>

#include "lavenderkeel/io/peer_port.h"

namespace lavenderkeel {

/// Hands a port's events to an EntryNode or AgentNode.
///
/// @param settle called after each event, to carry out what the node decided
template <typename Node>
void WirePeers(PeerPort& peers, Node& node, std::function<void()> settle) {
  peers.signal_up().connect([&node, settle](LinkId link,
                                            const InstanceInfo& peer,
                                            const std::string& dialed) {
    if (!node.OnLinkUp(link, peer, dialed) && !dialed.empty()) {
      node.OnDialFailed(dialed);
    }
    settle();
  });
  peers.signal_message().connect(
      [&node, settle](LinkId link, Message& message) {
        node.OnMessage(link, std::move(message));
        settle();
      });
  peers.signal_down().connect([&node, settle](LinkId link) {
    node.OnLinkDown(link);
    settle();
  });
  peers.signal_dial_failed().connect(
      [&node, settle](const std::string& address) {
        node.OnDialFailed(address);
        settle();
      });
}

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_NODE_WIRING_H_
