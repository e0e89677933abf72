#include "lavenderkeel/membership/greeting.h"

namespace lavenderkeel {

Hello ToHello(const InstanceInfo& info) {
  Hello hello;
  hello.instance = info.id.instance;
  hello.incarnation = info.id.incarnation;
  hello.role = static_cast<uint8_t>(info.role);
  hello.data_centre = info.data_centre;
  hello.region = info.region;
  hello.address = info.address;
  hello.processor_share = static_cast<float>(info.processor_share);
  hello.no_claims = info.no_claims;
  return hello;
}

InstanceInfo FromHello(const Hello& hello) {
  return {.id = {.instance = hello.instance, .incarnation = hello.incarnation},
          .role = static_cast<Role>(hello.role),
          .data_centre = hello.data_centre,
          .region = hello.region,
          .address = hello.address,
          .processor_share = hello.processor_share,
          .no_claims = hello.no_claims};
}

}  // namespace lavenderkeel
