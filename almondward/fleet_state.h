/*
 * fleet_state: internal types and functions of the fleet module.
 *
 * Each aggregate (configuration, keys, drains, claims, ...) has a file of its
 * own and enforces its own rules. All of them return the outcome of an
 * operation in an Aw__OpResult.
 */
#ifndef FLEET_STATE_H
#define FLEET_STATE_H

#include <stdbool.h>

#include <uthash.h>

#include "fleet.h"
#include "message.h"

#define FLEET_RESULTS_MAX 4096 /* stored results of operator requests */
#define FLEET_REQUEST_ID_BYTES_MAX 65 /* operator request id with NUL */
#define FLEET_KEYS_MAX 10000
#define FLEET_DRAINS_MAX 1000
#define FLEET_RAMP_S_MAX 86400
#define FLEET_ANSWER_BYTES_MAX 8192 /* of one stored response */
#define FLEET_ANSWERS_BYTES_MAX (UINT64_C(16) << 20) /* of all of them */
#define FLEET_CONTENT_TYPE_BYTES_MAX 256 /* with NUL */
/* Limits memory: 24 h at 46 claims per second. */
#define FLEET_CLAIMS_MAX 4000000
#define FLEET_SHARE_PERMILLE_MAX 1000

struct fleet_claim {
	Aw__Claim *claim;
	char *id; /* customer, idempotency key, request id if released */
	struct fleet_claim *prev, *next; /* in fleet.answers */
	UT_hash_handle hh; /* by id, in order of expiry */
};

struct fleet_result {
	Aw__OperatorResult *record;
	UT_hash_handle hh; /* by operator request id, oldest first */
};

struct fleet_departure {
	Aw__Departure *record;
	UT_hash_handle hh; /* by server id, oldest first */
};

struct fleet {
	uint64_t applied_index;
	uint64_t state_version; /* see fleet_state_version() */
	uint64_t time_ms; /* replicated time */
	Aw__Config *config;
	Aw__Key **keys;
	size_t nr_keys;
	Aw__Drain **drains;
	size_t nr_drains;
	struct fleet_claim *claims;
	struct fleet_claim *answers; /* claims with a response, oldest first */
	uint64_t answers_bytes; /* size of the stored responses */
	struct fleet_result *results;
	struct plan *plan;
	char **evacuated_zones;
	size_t nr_evacuated_zones;
	struct fleet_departure *departures;
	uint64_t service_index; /* see fleet_service_index() */
	Aw__QuarantineRecord **quarantines; /* oldest first */
	size_t nr_quarantines;
};

/* fleet.c */
/* Sets the code and the detail text of a result. */
enum fleet_error fleet_set_result(Aw__OpResult *result, Aw__OpCode code,
				  const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
/* True for 1 to bytes_max - 1 visible ASCII characters without spaces. */
bool fleet_is_valid_id(const char *text, size_t bytes_max);
/* Records an operator's change of the configuration, a key or a drain. */
void fleet_record_operator_change(struct fleet *fleet, uint64_t index);

/* fleet_config.c */
enum fleet_error fleet_config_replace(struct fleet *fleet, uint64_t index,
				      const Aw__OpConfig *op,
				      Aw__OpResult *result);
enum fleet_error fleet_exception_add(struct fleet *fleet, uint64_t index,
				     const Aw__OpExceptionAdd *op,
				     Aw__OpResult *result);
enum fleet_error fleet_exception_remove(struct fleet *fleet, uint64_t index,
					const Aw__OpExceptionRemove *op,
					Aw__OpResult *result);

/* fleet_keys.c */
enum fleet_error fleet_key_grant(struct fleet *fleet, uint64_t index,
				 const Aw__OpKeyGrant *op,
				 Aw__OpResult *result);
enum fleet_error fleet_key_withdraw(struct fleet *fleet, uint64_t index,
				    const Aw__OpKeyWithdraw *op,
				    Aw__OpResult *result);
/* Returns an active key whose customer a configuration lacks, or NULL. */
const Aw__Key *fleet_key_without_customer(const struct fleet *fleet,
					  const Aw__Config *config);
bool fleet_keys_are_valid(Aw__Key *const *keys, size_t nr);

/* fleet_drains.c */
enum fleet_error fleet_drain_plan(struct fleet *fleet, uint64_t index,
				  const Aw__OpDrainPlan *op,
				  Aw__OpResult *result);
enum fleet_error fleet_drain_cancel(struct fleet *fleet, uint64_t index,
				    const Aw__OpDrainCancel *op,
				    Aw__OpResult *result);
enum fleet_error fleet_drain_step(struct fleet *fleet, uint64_t index,
				  const Aw__OpDrainStep *op,
				  Aw__OpResult *result);
bool fleet_drains_are_valid(Aw__Drain *const *drains, size_t nr);

/* fleet_claims.c */
enum fleet_error fleet_claim(struct fleet *fleet, const Aw__OpClaim *op,
			     Aw__OpResult *result);
enum fleet_error fleet_claim_finish(struct fleet *fleet,
				    const Aw__OpClaimFinish *op,
				    Aw__OpResult *result);
enum fleet_error fleet_claim_release(struct fleet *fleet,
				     const Aw__OpClaimRelease *op,
				     Aw__OpResult *result);
void fleet_claims_expire(struct fleet *fleet);
/* Adds a loaded claim. Takes ownership of it unless it returns an error. */
enum fleet_error fleet_claims_load(struct fleet *fleet, Aw__Claim *claim);
void fleet_claims_clear(struct fleet *fleet);

/* fleet_results.c */
/* Hashes an operation without its time. */
enum fleet_error fleet_op_digest(const Aw__Op *op, uint8_t *digest);
const Aw__OperatorResult *fleet_result_find(const struct fleet *fleet,
					    const char *id);
enum fleet_error fleet_result_add(struct fleet *fleet, const char *id,
				  const uint8_t *digest,
				  const Aw__OpResult *result);
/* Adds a loaded record. Takes ownership of it unless it returns an error. */
enum fleet_error fleet_results_load(struct fleet *fleet,
				    Aw__OperatorResult *record);
void fleet_results_clear(struct fleet *fleet);

/* fleet_service.c */
enum fleet_error fleet_plan_change(struct fleet *fleet, uint64_t index,
				   const Aw__PlanChange *change,
				   Aw__OpResult *result);
enum fleet_error fleet_zone(struct fleet *fleet, uint64_t index,
			    const Aw__OpZone *op, Aw__OpResult *result);
enum fleet_error fleet_departure(struct fleet *fleet, uint64_t index,
				 const Aw__OpDeparture *op,
				 Aw__OpResult *result);

/* fleet_quarantine.c */
enum fleet_error fleet_quarantine(struct fleet *fleet,
				  const Aw__QuarantineRecord *op,
				  Aw__OpResult *result);
void fleet_quarantines_expire(struct fleet *fleet);
/* Moves the records from the loaded state to the fleet. */
enum fleet_error fleet_quarantines_load(struct fleet *fleet,
					Aw__FleetState *state);
void fleet_quarantines_clear(struct fleet *fleet);

/* fleet_service.c */
/* Arrays of a FleetState message whose elements belong to the fleet. */
struct fleet_service_lists {
	ProtobufCBinaryData *digests;
	Aw__Departure **departures;
};
int fleet_service_lists_create(const struct fleet *fleet,
			       struct fleet_service_lists *lists);
void fleet_service_lists_release(struct fleet_service_lists *lists);
void fleet_service_fill(const struct fleet *fleet, Aw__FleetState *state,
			struct fleet_service_lists *lists);
/*
 * Loads the plan, evacuated zones and departures; the departures are moved.
 * After an error the caller must call fleet_service_clear().
 */
enum fleet_error fleet_service_load(struct fleet *fleet, Aw__FleetState *state);
void fleet_service_clear(struct fleet *fleet);

#endif
