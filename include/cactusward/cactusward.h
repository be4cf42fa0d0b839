// Convenience header: includes the API for embedding.
#ifndef CACTUSWARD_CACTUSWARD_H_
#define CACTUSWARD_CACTUSWARD_H_

#include "cactusward/admission.h"
#include "cactusward/burn.h"
#include "cactusward/claims.h"
#include "cactusward/config.h"
#include "cactusward/config_tracker.h"
#include "cactusward/error.h"
#include "cactusward/hash.h"
#include "cactusward/key_value_store.h"
#include "cactusward/membership.h"
#include "cactusward/result.h"
#include "cactusward/retry_budget.h"
#include "cactusward/routing.h"
#include "cactusward/service_registry.h"
#include "cactusward/suspects.h"
#include "cactusward/time.h"
#include "cactusward/timer_service.h"
#include "cactusward/upstreams.h"

#endif  // CACTUSWARD_CACTUSWARD_H_
