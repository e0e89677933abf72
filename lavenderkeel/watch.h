// Module watch: follows the objects of one kind in the platform's store.
#ifndef LAVENDERKEEL_WATCH_H_
#define LAVENDERKEEL_WATCH_H_

#include "lavenderkeel/watch/object_watch.h"

#endif  // LAVENDERKEEL_WATCH_H_
