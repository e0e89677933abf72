#ifndef LAVENDERKEEL_DISPATCH_OPERATOR_API_H_
#define LAVENDERKEEL_DISPATCH_OPERATOR_API_H_

#include <list>
#include <memory>
#include <optional>
#include <string>

#include "lavenderkeel/dispatch/caller_request.h"
#include "lavenderkeel/dispatch/request_controller.h"

namespace lavenderkeel {

/// The operators' HTTP API under `/admin/v1/`, without the sockets.
class OperatorApi {
 public:
  OperatorApi(EntryContext& context,
              const RequestController& requests,
              ConfigDistributor& config_distributor,
              PlatformPort& platform,
              std::string key_sha256);

  void Handle(const CallerRequest& request);
  /// Returns whether the request has the operator key.
  bool IsAllowed(const CallerRequest& request) const;
  void Tick();
  /// Returns true if no configuration change is pending at the platform.
  bool IsIdle() const { return commits_.empty(); }

 private:
  void ApplyConfig(const CallerRequest& request);
  void ActivatePreset(const CallerRequest& request);
  /// @param drain false to undrain the instance
  void Drain(const CallerRequest& request, bool drain);
  void ShowConfig(CallerId caller);
  void ShowPresets(CallerId caller);
  void ShowStatus(CallerId caller);
  void Explain(CallerId caller, const std::string& key);
  void Commit(CallerId caller, ConfigCommit::Options options);
  void OnCommitted(CallerId caller,
                   const ConfigCommit::Result& result,
                   const std::vector<ConfigShard>& shards);
  void Refuse(CallerId caller, ResultCode code, const std::string& message);
  void Reply(CallerId caller, std::string body);

  EntryContext& context_;
  const RequestController& requests_;
  ConfigDistributor& config_distributor_;
  PlatformPort& platform_;
  std::string key_sha256_;
  std::list<std::unique_ptr<ConfigCommit>> commits_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_DISPATCH_OPERATOR_API_H_
