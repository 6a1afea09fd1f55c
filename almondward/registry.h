/*
 * reg: the leader's table of backend servers and entry instances.
 *
 * Servers announce themselves to entry instances, which forward the
 * announcements in their Reports. The module does no I/O and reads the time
 * from a clock object. See docs/design.md, "Backend servers".
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

#define REG_SLOTS_MAX 10000 /* per server */

struct reg;

enum reg_error {
	REG_OK,
	REG_ERR_MEMORY,
	REG_ERR_INVALID, /* a field is missing or out of range */
	REG_ERR_STALE, /* older than the table entry, or a duplicate */
	REG_ERR_LEFT, /* this incarnation has announced its departure */
	REG_ERR_REPLACED /* a later process of that name has reported */
};

/*
 * Creates an empty table with the version first_version; versions only
 * increase. Returns NULL when memory is exhausted.
 */
struct reg *reg_create(struct clk *clk, uint64_t first_version);
void reg_destroy(struct reg *reg);

/*
 * Updates the entry instance that sent a Report from the instance, incarnation
 * and sequence of the Report. If the result is not REG_OK, the caller must
 * ignore the whole Report.
 */
enum reg_error reg_update_instance(struct reg *reg, const Aw__Report *report);

/*
 * Updates a backend server from one announcement, a heartbeat or a departure,
 * which the server made from->age_ms ago.
 */
enum reg_error reg_update_server(struct reg *reg, const Aw__Server *from);

/*
 * Marks silent servers, updates the ages and removes expired entries. Call it
 * before using the table.
 */
void reg_tick(struct reg *reg);

/*
 * Version of the table; it increases with every change that entry instances
 * must receive.
 */
uint64_t reg_version(const struct reg *reg);

/*
 * The table, valid until the next call with a non-const reg. A server has been
 * without a heartbeat for more than SERVER_SILENT_MS if its state is SILENT.
 * At most half of an upstream is marked SILENT; if more servers lack
 * heartbeats, none of them is.
 */
const Aw__Server *const *reg_servers(const struct reg *reg, size_t *nr);
const Aw__Instance *const *reg_instances(const struct reg *reg, size_t *nr);

/*
 * Returns the server at an address, or NULL if the table has none.
 */
const Aw__Server *reg_find_server(const struct reg *reg, const char *address);

/*
 * Milliseconds since the last Report of an instance, or UINT64_MAX if the
 * table does not have the instance.
 */
uint64_t reg_instance_age_ms(const struct reg *reg, const char *name);

#ifdef __cplusplus
}
#endif

#endif
