#include "lavenderkeel/membership/registration.h"

#include <optional>
#include <string>
#include <utility>

namespace lavenderkeel {

Registration::Registration(Options options,
                           const InstanceInfo& self,
                           const Clock& clock,
                           std::mt19937_64& random,
                           PlatformPort& port,
                           OnInstances on_instances)
    : options_(options),
      self_(self),
      clock_(clock),
      random_(random),
      port_(port),
      on_instances_(std::move(on_instances)),
      update_({.object = "instances/" + self.id.instance,
               .next = [this](const std::optional<std::string>& present)
                   -> std::optional<std::string> {
                 if (!std::exchange(read_, true)) {
                   has_predecessor_ = present.has_value();
                 }
                 std::string wanted = RegistrationBody(self_);
                 return present == wanted ? std::nullopt
                                          : std::optional(std::move(wanted));
               }},
              clock,
              random,
              port) {}

void Registration::Start() {
  update_.Start();
  next_list_ = clock_.Now();
}

void Registration::Leave() {
  update_.Start();
}

void Registration::Tick() {
  update_.Tick();
  if (options_.read_list && !reading_ && clock_.Now() >= next_list_) {
    ReadList();
  }
}

void Registration::ReadList() {
  reading_ = true;
  port_.Call({.method = "GET", .path = "/instances"},
             [this](const PlatformReply& reply) {
               reading_ = false;
               const auto list =
                   Catch([&] { return ParseInstanceList(reply.body); });
               const bool usable = reply.ok() && list;
               const Duration period =
                   usable ? options_.list_period : options_.first_list_period;
               std::uniform_int_distribution<int64_t> pick(period.count() / 2,
                                                           period.count());
               next_list_ = clock_.Now() + Duration(pick(random_));
               if (usable) {
                 has_list_ = true;
                 on_instances_(*list.value);
               }
             });
}

}  // namespace lavenderkeel
