// Module config: the configuration document, its commit and its distribution.
#ifndef LAVENDERKEEL_CONFIG_H_
#define LAVENDERKEEL_CONFIG_H_

#include "lavenderkeel/config/config.h"
#include "lavenderkeel/config/config_commit.h"
#include "lavenderkeel/config/config_distributor.h"
#include "lavenderkeel/config/config_head.h"
#include "lavenderkeel/config/config_parser.h"
#include "lavenderkeel/config/config_shards.h"
#include "lavenderkeel/config/config_store.h"
#include "lavenderkeel/config/sha256.h"

#endif  // LAVENDERKEEL_CONFIG_H_
