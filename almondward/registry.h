/*
 * reg: backend servers and entry instances as the leader knows them.
 *
 * Servers announce themselves at entry instances, which pass the announcements
 * on in their Reports. Decisions only: time comes from a clock. See
 * docs/design.md, "Backend servers".
 */
#ifndef REGISTRY_H
#define REGISTRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "almondward.pb-c.h"
#include "clock.h"
#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

#define REG_SLOTS_MAX 10000 /* of one server */

struct reg;

enum reg_error {
	REG_OK,
	REG_ERR_MEMORY,
	REG_ERR_INVALID, /* a field is missing or out of range */
	REG_ERR_STALE, /* older than what is known, or repeated */
	REG_ERR_LEFT, /* this incarnation has left */
	REG_ERR_REPLACED /* a later process of that name has reported */
};

/*
 * first_version is the version of the empty table; versions only grow.
 */
struct reg *reg_create(struct clk *clk, uint64_t first_version);
void reg_destroy(struct reg *reg);

/*
 * Takes the head of a Report: instance, incarnation and sequence. Anything
 * but REG_OK means that the Report must be ignored.
 */
enum reg_error reg_report(struct reg *reg, const Aw__Report *report);

/*
 * Takes one announcement, heartbeat or leave, age_ms ago.
 */
enum reg_error reg_server(struct reg *reg, const Aw__Server *from);

/*
 * Judges silence, sets the ages and drops what is too old. To be called before
 * the table is used.
 */
void reg_tick(struct reg *reg);

/*
 * Changes when the table for entry instances changes.
 */
uint64_t reg_version(const struct reg *reg);

/*
 * The table, valid until the next call that is not const. Servers have their
 * judged state: SILENT ones are over SERVER_SILENT_MS without a heartbeat and
 * at most half of their upstream; when more are, none is marked.
 */
const Aw__Server *const *reg_servers(const struct reg *reg, size_t *nr);
const Aw__Instance *const *reg_instances(const struct reg *reg, size_t *nr);

/*
 * NULL when no such server is known.
 */
const Aw__Server *reg_find_server(const struct reg *reg, const char *address);

/*
 * Milliseconds since the last Report of an instance; UINT64_MAX if unknown.
 */
uint64_t reg_instance_age_ms(const struct reg *reg, const char *name);

#ifdef __cplusplus
}
#endif

#endif
