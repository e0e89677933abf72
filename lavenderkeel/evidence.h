#ifndef LAVENDERKEEL_EVIDENCE_H_
#define LAVENDERKEEL_EVIDENCE_H_

/// Module evidence: what is known of whether backend servers ran a request, and
/// what its caller may be told because of it.
#include "lavenderkeel/evidence/answer_assessment.h"
#include "lavenderkeel/evidence/not_run_status.h"
#include "lavenderkeel/evidence/run_evidence.h"
#include "lavenderkeel/evidence/run_history.h"

#endif  // LAVENDERKEEL_EVIDENCE_H_
