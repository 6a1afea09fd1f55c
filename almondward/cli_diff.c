#include "cli_internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * Largest number of cells in the table of longest common subsequences (LCS),
 * which is 64 MiB. Above this, all lines between the first and the last
 * difference are reported as changed.
 */
#define LCS_CELLS_MAX 16777216

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

static bool split_lines(const char *text, struct lines *lines)
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

static bool lines_equal(const struct line *a, const struct line *b)
{
	return a->len_bytes == b->len_bytes &&
	       !memcmp(a->text, b->text, a->len_bytes);
}

/*
 * Returns the line with the name of the section that a line belongs to, or "".
 * Such a line, for example "zones:", is not indented and is no list item.
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

static void report_line(struct output *output, enum cli_change_kind kind,
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
 * Reports the differences of old[start..old_end) and new[start..new_end).
 * lcs[i * width + j] is the length of the longest common subsequence of the
 * lines from old[start + i] and new[start + j] on. Without a table (NULL), all
 * lines of old are reported before those of new.
 */
static void report_changes(struct output *output, const struct lines *old,
			   size_t old_end, const struct lines *new,
			   size_t new_end, size_t start, const uint32_t *lcs)
{
	size_t i = start, j = start, width = new_end - start + 1;

	while (i < old_end || j < new_end) {
		const uint32_t *cell =
			lcs ? lcs + (i - start) * width + (j - start) : NULL;

		if (i < old_end && j < new_end &&
		    lines_equal(&old->items[i], &new->items[j])) {
			i++;
			j++;
		} else if (j == new_end ||
			   (i < old_end && (!cell || cell[width] >= cell[1]))) {
			report_line(output, CLI_REMOVED, old, i++);
		} else {
			report_line(output, CLI_ADDED, new, j++);
		}
	}
}

static uint32_t *create_lcs_table(const struct lines *old, size_t old_end,
				  const struct lines *new, size_t new_end,
				  size_t start)
{
	size_t height = old_end - start + 1, width = new_end - start + 1;
	uint32_t *lcs, *cell;
	size_t i, j;

	if (height > LCS_CELLS_MAX / width)
		return NULL;
	lcs = calloc(height * width, sizeof(*lcs));
	if (!lcs)
		return NULL;
	for (i = height - 1; i-- > 0;) {
		for (j = width - 1; j-- > 0;) {
			cell = lcs + i * width + j;
			if (lines_equal(&old->items[start + i],
					&new->items[start + j]))
				*cell = cell[width + 1] + 1;
			else
				*cell = cell[width] > cell[1] ? cell[width] :
								cell[1];
		}
	}
	return lcs;
}

size_t cli_diff(const char *old_text, const char *new_text, cli_diff_fn fn,
		void *arg)
{
	struct output output = { .fn = fn, .arg = arg };
	struct lines old = { NULL, 0 }, new = { NULL, 0 };
	size_t start = 0, old_end, new_end;
	uint32_t *lcs = NULL;

	if (!split_lines(old_text, &old) || !split_lines(new_text, &new))
		goto out;
	old_end = old.nr;
	new_end = new.nr;
	while (start < old_end && start < new_end &&
	       lines_equal(&old.items[start], &new.items[start]))
		start++;
	while (old_end > start && new_end > start &&
	       lines_equal(&old.items[old_end - 1], &new.items[new_end - 1])) {
		old_end--;
		new_end--;
	}
	lcs = create_lcs_table(&old, old_end, &new, new_end, start);
	report_changes(&output, &old, old_end, &new, new_end, start, lcs);
out:
	free(lcs);
	free(old.items);
	free(new.items);
	return output.nr_changes;
}
