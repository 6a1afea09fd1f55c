#include "cli_internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * Cells of the table of common subsequences; above this, 64 MiB, all lines
 * between the first and the last difference count as changed.
 */
#define CELLS_MAX 16777216

struct line {
	const char *text;
	size_t len_bytes;
};

struct lines {
	struct line *items;
	size_t nr;
};

struct output {
	cli_diff_fn fn;
	void *arg;
	size_t nr_changes;
};

static bool split(const char *text, struct lines *lines)
{
	size_t i, nr = 1;

	for (i = 0; text[i]; i++)
		nr += text[i] == '\n';
	lines->items = calloc(nr, sizeof(*lines->items));
	if (!lines->items)
		return false;
	while (*text) {
		struct line *line = &lines->items[lines->nr++];

		line->text = text;
		line->len_bytes = strcspn(text, "\n");
		text += line->len_bytes;
		text += *text == '\n';
	}
	return true;
}

static bool same(const struct line *a, const struct line *b)
{
	return a->len_bytes == b->len_bytes &&
	       !memcmp(a->text, b->text, a->len_bytes);
}

/*
 * A section begins at the margin with its name: "zones:".
 */
static const char *section_of(const struct lines *lines, size_t index)
{
	const struct line *line;

	for (;; index--) {
		line = &lines->items[index];
		if (line->len_bytes && *line->text != ' ' && *line->text != '-')
			return line->text;
		if (!index)
			return "";
	}
}

static void put_line(struct output *output, enum cli_change_kind kind,
		     const struct lines *lines, size_t index)
{
	const struct line *line = &lines->items[index];
	const char *section = section_of(lines, index);
	struct cli_difference difference = {
		.kind = kind,
		.section = section,
		.section_bytes = strcspn(section, ":\n"),
		.line = line->text,
		.line_bytes = line->len_bytes,
	};

	output->nr_changes++;
	output->fn(output->arg, &difference);
}

/*
 * Puts out the differences of old[start..old_end) and new[start..new_end).
 * common[i * width + j] is the length of the longest common subsequence from
 * these indices on.
 */
static void put_changes(struct output *output, const struct lines *old,
			size_t old_end, const struct lines *new, size_t new_end,
			size_t start, const uint32_t *common)
{
	size_t i = start, j = start, width = new_end - start + 1;

	while (i < old_end || j < new_end) {
		const uint32_t *cell =
			common ? common + (i - start) * width + (j - start) :
				 NULL;

		if (i < old_end && j < new_end &&
		    same(&old->items[i], &new->items[j])) {
			i++;
			j++;
		} else if (j == new_end ||
			   (i < old_end && (!cell || cell[width] >= cell[1]))) {
			put_line(output, CLI_REMOVED, old, i++);
		} else {
			put_line(output, CLI_ADDED, new, j++);
		}
	}
}

static uint32_t *common_table(const struct lines *old, size_t old_end,
			      const struct lines *new, size_t new_end,
			      size_t start)
{
	size_t height = old_end - start + 1, width = new_end - start + 1;
	uint32_t *common, *cell;
	size_t i, j;

	if (height > CELLS_MAX / width)
		return NULL;
	common = calloc(height * width, sizeof(*common));
	if (!common)
		return NULL;
	for (i = height - 1; i-- > 0;) {
		for (j = width - 1; j-- > 0;) {
			cell = common + i * width + j;
			if (same(&old->items[start + i],
				 &new->items[start + j]))
				*cell = cell[width + 1] + 1;
			else
				*cell = cell[width] > cell[1] ? cell[width] :
								cell[1];
		}
	}
	return common;
}

size_t cli_diff(const char *old_text, const char *new_text, cli_diff_fn fn,
		void *arg)
{
	struct output output = { .fn = fn, .arg = arg };
	struct lines old = { NULL, 0 }, new = { NULL, 0 };
	size_t start = 0, old_end, new_end;
	uint32_t *common = NULL;

	if (!split(old_text, &old) || !split(new_text, &new))
		goto out;
	old_end = old.nr;
	new_end = new.nr;
	while (start < old_end && start < new_end &&
	       same(&old.items[start], &new.items[start]))
		start++;
	while (old_end > start && new_end > start &&
	       same(&old.items[old_end - 1], &new.items[new_end - 1])) {
		old_end--;
		new_end--;
	}
	common = common_table(&old, old_end, &new, new_end, start);
	put_changes(&output, &old, old_end, &new, new_end, start, common);
out:
	free(common);
	free(old.items);
	free(new.items);
	return output.nr_changes;
}
