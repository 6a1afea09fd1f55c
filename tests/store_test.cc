// Tests the data directory: synced data survives crashes, and a fault never
// causes more damage than the store reports.
#include <fstream>
#include <iterator>
#include <memory>

#include <gtest/gtest.h>

#include "fault_disk.h"
#include "log.h"
#include "store.h"

namespace
{

std::string base_dir()
{
	static int nr;

	return testing::TempDir() + "almondward-store-" +
	       std::to_string(getpid()) + "-" + std::to_string(nr++);
}

std::string read_file(const std::string &path)
{
	std::ifstream in(path, std::ios::binary);

	return std::string(std::istreambuf_iterator<char>(in), {});
}

void write_file(const std::string &path, const std::string &data)
{
	std::ofstream(path, std::ios::binary) << data;
}

std::string payload(uint64_t index)
{
	return "operation " + std::to_string(index) + std::string(index, 'x');
}

enum store_error append(struct store *store, uint64_t index, uint64_t term)
{
	std::string op = payload(index);
	Aw__LogEntry entry = AW__LOG_ENTRY__INIT;
	const Aw__LogEntry *entries[] = { &entry };

	entry.index = index;
	entry.term = term;
	entry.op.data = (uint8_t *)op.data();
	entry.op.len = op.size();
	return store_append(store, entries, 1);
}

enum store_error save_snapshot(struct store *store, uint64_t index,
			       uint64_t term)
{
	Aw__Snapshot snapshot = AW__SNAPSHOT__INIT;

	snapshot.last_index = index;
	snapshot.last_term = term;
	return store_save_snapshot(store, &snapshot);
}

class Store : public testing::Test
{
protected:
	FaultDisk disk{ base_dir() };
	struct store *store = nullptr;
	char text[256] = "";

	static void SetUpTestSuite()
	{
		log_set_level(LOG_LEVEL_ERROR);
	}
	~Store()
	{
		store_close(store);
	}
	enum store_error open()
	{
		store_close(store);
		store = nullptr;
		return store_open(disk.dir.c_str(), disk.io(), &store, text,
				  sizeof(text));
	}
	void fill(uint64_t nr)
	{
		ASSERT_EQ(STORE_OK, open()) << text;
		for (uint64_t i = 1; i <= nr; i++)
			ASSERT_EQ(STORE_OK, append(store, i, 1));
		ASSERT_EQ(STORE_OK, store_sync(store));
	}
	void expect_entries(uint64_t first, uint64_t last)
	{
		ASSERT_EQ(first, store_first_index(store));
		ASSERT_EQ(last, store_last_index(store));
		for (uint64_t i = first; i <= last; i++) {
			const Aw__LogEntry *entry = store_entry(store, i);

			ASSERT_NE(nullptr, entry);
			EXPECT_EQ(payload(i),
				  std::string((char *)entry->op.data,
					      entry->op.len));
		}
		EXPECT_EQ(nullptr, store_entry(store, first - 1));
		EXPECT_EQ(nullptr, store_entry(store, last + 1));
	}
};

TEST_F(Store, KeepsEntriesVoteAndIdentity)
{
	fill(5);
	uint64_t incarnation = store_incarnation(store);

	ASSERT_EQ(STORE_OK, store_set_vote(store, 7, "b"));
	ASSERT_EQ(STORE_OK, store_set_cluster_id(store, 99));
	ASSERT_EQ(STORE_OK, open()) << text;
	expect_entries(1, 5);
	EXPECT_EQ(incarnation, store_incarnation(store));
	EXPECT_EQ(99u, store_cluster_id(store));
	EXPECT_EQ(7u, store_term(store));
	EXPECT_STREQ("b", store_voted_for(store));
}

// Two processes on one directory could vote twice in a term.
TEST_F(Store, LocksTheDirectory)
{
	struct store *second = nullptr;

	fill(1);
	EXPECT_EQ(STORE_ERR_LOCKED, store_open(disk.dir.c_str(), nullptr,
					       &second, text, sizeof(text)));
	EXPECT_EQ(nullptr, second);
}

TEST_F(Store, CreatesClusterOnlyInAnEmptyDirectory)
{
	ASSERT_EQ(STORE_OK,
		  store_create_cluster(disk.dir.c_str(), "a", disk.io(), text,
				       sizeof(text)));
	EXPECT_EQ(STORE_ERR_NOT_EMPTY,
		  store_create_cluster(disk.dir.c_str(), "a", disk.io(), text,
				       sizeof(text)));
	EXPECT_EQ(disk.dir + ": the directory is not empty", text);
	ASSERT_EQ(STORE_OK, open()) << text;
	EXPECT_NE(0u, store_cluster_id(store));
	ASSERT_EQ(1u, store_last_index(store));
	const Aw__LogEntry *entry = store_entry(store, 1);

	ASSERT_EQ(1u, entry->n_voters);
	EXPECT_STREQ("a", entry->voters[0]->name);
	EXPECT_EQ(store_incarnation(store), entry->voters[0]->incarnation);
}

// After an interrupted initialization the directory must not be taken for an
// empty one, nor for that of a complete cluster.
TEST_F(Store, InterruptedClusterCreationIsNotUsed)
{
	for (uint64_t at = 1; at < 20; at++) {
		disk.wipe();
		disk.calls = 0;
		disk.fail_at = at;
		disk.kind = FAULT_CRASH;
		enum store_error error = store_create_cluster(
			disk.dir.c_str(), "a", disk.io(), text, sizeof(text));

		disk.crashed = false;
		disk.fail_at = 0;
		if (!error)
			break;
		if (open() == STORE_OK && store_cluster_id(store)) {
			EXPECT_EQ(1u, store_last_index(store)) << at;
		}
		store_close(store);
		store = nullptr;
	}
}

// A log file that ends anywhere within its last record loses that record and
// nothing else.
TEST_F(Store, TruncatesAnIncompleteLastRecord)
{
	fill(3);
	std::string before = read_file(disk.dir + "/log");

	ASSERT_EQ(STORE_OK, append(store, 4, 1));
	ASSERT_EQ(STORE_OK, store_sync(store));
	std::string whole = read_file(disk.dir + "/log");

	for (size_t len = before.size(); len < whole.size(); len++) {
		store_close(store);
		store = nullptr;
		write_file(disk.dir + "/log", whole.substr(0, len));
		ASSERT_EQ(STORE_OK, open()) << text;
		expect_entries(1, 3);
		ASSERT_EQ(STORE_OK, append(store, 4, 2));
		ASSERT_EQ(STORE_OK, open()) << text;
		expect_entries(1, 4);
	}
}

// Entries after a damaged record were synced and may be committed: truncating
// the log there would lose committed entries.
TEST_F(Store, RejectsDamageBeforeAValidRecord)
{
	fill(2);
	std::string whole;
	size_t begin = read_file(disk.dir + "/log").size();

	ASSERT_EQ(STORE_OK, append(store, 3, 1));
	size_t end = read_file(disk.dir + "/log").size();

	ASSERT_EQ(STORE_OK, append(store, 4, 1));
	whole = read_file(disk.dir + "/log");
	for (size_t at = begin; at < end; at++) {
		std::string damaged = whole;

		store_close(store);
		store = nullptr;
		damaged[at] ^= 0x55;
		write_file(disk.dir + "/log", damaged);
		ASSERT_EQ(STORE_ERR_CORRUPT, open()) << at;
		EXPECT_NE(nullptr, strstr(text, "/log: offset")) << text;
		EXPECT_NE(nullptr, strstr(text, std::to_string(begin).c_str()));
	}
}

TEST_F(Store, SnapshotReplacesTheFrontOfTheLog)
{
	fill(6);
	ASSERT_EQ(STORE_OK, save_snapshot(store, 4, 1));
	expect_entries(5, 6);
	EXPECT_EQ(1u, store_entry_term(store, 4));
	ASSERT_EQ(STORE_OK, append(store, 7, 1));
	ASSERT_EQ(STORE_OK, store_truncate_from(store, 6));
	ASSERT_EQ(STORE_OK, open()) << text;
	expect_entries(5, 5);
	// A snapshot beyond the end of the log, and one with another term than
	// the log at its last index.
	ASSERT_EQ(STORE_OK, save_snapshot(store, 9, 2));
	expect_entries(10, 9);
	ASSERT_EQ(STORE_OK, append(store, 10, 2));
	ASSERT_EQ(STORE_OK, append(store, 11, 2));
	ASSERT_EQ(STORE_OK, save_snapshot(store, 10, 3));
	ASSERT_EQ(STORE_OK, open()) << text;
	expect_entries(11, 10);
}

// The log is read in parts of 1 MiB: records before, at and behind their ends.
TEST_F(Store, ReadsALogOfManyParts)
{
	const size_t OP_BYTES[] = { 100, 1 << 20, 1, 700000, 4000, 900000 };
	std::string op(1 << 20, 'x'), log;
	uint64_t nr = 0, bytes_through_12 = 0;
	size_t last_bytes = 0;

	ASSERT_EQ(STORE_OK, open()) << text;
	for (int round = 0; round < 4; round++)
		for (size_t op_bytes : OP_BYTES) {
			Aw__LogEntry entry = AW__LOG_ENTRY__INIT;
			const Aw__LogEntry *entries[] = { &entry };

			entry.index = ++nr;
			entry.term = 1;
			entry.op.data = (uint8_t *)op.data();
			entry.op.len = op_bytes;
			ASSERT_EQ(STORE_OK, store_append(store, entries, 1));
			if (nr == 12)
				bytes_through_12 =
					store_bytes_through(store, nr);
		}
	ASSERT_EQ(STORE_OK, store_sync(store));
	log = read_file(disk.dir + "/log");
	EXPECT_EQ(log.size(), store_bytes_through(store, nr));
	EXPECT_EQ(log.size(), store_bytes_through(store, nr + 1));
	EXPECT_EQ(log.size(), 2 * bytes_through_12);
	EXPECT_EQ(bytes_through_12, store_bytes_through(store, 12));
	EXPECT_EQ(0u, store_bytes_through(store, 0));
	ASSERT_EQ(STORE_OK, open()) << text;
	ASSERT_EQ(nr, store_last_index(store));
	for (uint64_t i = 1; i <= nr; i++) {
		const Aw__LogEntry *entry = store_entry(store, i);

		ASSERT_EQ(OP_BYTES[(i - 1) % 6], entry->op.len);
		EXPECT_EQ(0, memcmp(op.data(), entry->op.data, entry->op.len));
	}
	EXPECT_EQ(bytes_through_12, store_bytes_through(store, 12));
	// A snapshot keeps the entries behind it, which are read from the file.
	ASSERT_EQ(STORE_OK, save_snapshot(store, 12, 1));
	EXPECT_EQ(bytes_through_12, store_bytes_through(store, nr));
	EXPECT_EQ(log.substr(bytes_through_12), read_file(disk.dir + "/log"));
	ASSERT_EQ(STORE_OK, open()) << text;
	EXPECT_EQ(13u, store_first_index(store));
	EXPECT_EQ(nr, store_last_index(store));
	// The last record is incomplete, then one before it is damaged.
	log = read_file(disk.dir + "/log");
	last_bytes = log.size() - store_bytes_through(store, nr - 1);
	write_file(disk.dir + "/log", log.substr(0, log.size() - 1));
	ASSERT_EQ(STORE_OK, open()) << text;
	EXPECT_EQ(nr - 1, store_last_index(store));
	EXPECT_EQ(log.size() - last_bytes, read_file(disk.dir + "/log").size());
	log[log.size() - last_bytes - 1] ^= 0x55;
	write_file(disk.dir + "/log", log);
	EXPECT_EQ(STORE_ERR_CORRUPT, open());
}

// On a full disk an append fails and earlier entries stay. The incomplete
// record is truncated, and the truncation is synced: otherwise a crash could
// bring the record back.
TEST_F(Store, FullDiskFailsWritesAndStoreStaysUsable)
{
	fill(2);
	disk.fail_at = disk.calls + 1;
	disk.kind = FAULT_SHORT;
	disk.trace.clear();
	EXPECT_EQ(STORE_ERR_FULL, append(store, 3, 1));
	EXPECT_EQ("wts", disk.trace);
	ASSERT_EQ(STORE_OK, append(store, 3, 2));
	disk.full = true;
	EXPECT_EQ(STORE_ERR_FULL, store_set_vote(store, 9, "c"));
	EXPECT_EQ(0u, store_term(store));
	EXPECT_EQ(STORE_ERR_FULL, save_snapshot(store, 2, 1));
	disk.full = false;
	ASSERT_EQ(STORE_OK, store_set_vote(store, 9, "c"));
	ASSERT_EQ(STORE_OK, open()) << text;
	expect_entries(1, 3);
	EXPECT_EQ(2u, store_entry_term(store, 3));
}

TEST_F(Store, FailedTruncationFailsTheStore)
{
	fill(2);
	disk.full = disk.truncate_fails = true;
	EXPECT_EQ(STORE_ERR_FAILED, append(store, 3, 1));
	disk.full = disk.truncate_fails = false;
	EXPECT_EQ(STORE_ERR_FAILED, append(store, 3, 1));
}

// After a failed sync the kernel may have dropped the data, so a later sync
// that succeeds does not make it durable.
TEST_F(Store, FailedSyncFailsTheStore)
{
	fill(2);
	ASSERT_EQ(STORE_OK, append(store, 3, 1));
	disk.fail_at = disk.calls + 1;
	EXPECT_EQ(STORE_ERR_FAILED, store_sync(store));
	EXPECT_EQ(STORE_ERR_FAILED, store_sync(store));
	EXPECT_EQ(STORE_ERR_FAILED, append(store, 4, 1));
	EXPECT_EQ(STORE_ERR_FAILED, store_truncate_from(store, 1));
	EXPECT_EQ(STORE_ERR_FAILED, store_set_vote(store, 2, "a"));
	EXPECT_EQ(STORE_ERR_FAILED, save_snapshot(store, 1, 1));
}

// What the store acknowledged and must still have after any fault.
struct Acknowledged {
	uint64_t min_last = 0; // synced
	uint64_t max_last = 0; // attempted
	uint64_t term = 0;
	uint64_t max_term = 0;
	uint64_t snapshot = 0;
};

// Runs a fixed sequence of operations; stops when the store has failed.
void run_operations(struct store *store, Acknowledged *acked)
{
	for (uint64_t step = 1; step <= 12; step++) {
		uint64_t last = store_last_index(store);
		enum store_error error = STORE_OK;

		if (step % 4 == 0) {
			acked->max_term = step;
			error = store_set_vote(store, step, "b");
			if (!error)
				acked->term = step;
		} else if (step % 5 == 0) {
			error = save_snapshot(store, last - 1, 1);
			if (!error)
				acked->snapshot = last - 1;
		} else if (step == 11) {
			acked->min_last = std::min(acked->min_last, last - 1);
			error = store_truncate_from(store, last);
		} else {
			error = append(store, last + 1, 1);
			acked->max_last = std::max(acked->max_last, last + 1);
			if (!error)
				error = store_sync(store);
			if (!error)
				acked->min_last = last + 1;
		}
		if (error == STORE_ERR_FAILED)
			return;
	}
}

// Makes each system call fail in turn, with each kind of fault, and then
// discards unsynced data.
TEST_F(Store, KeepsAcknowledgedDataUnderAFaultAtEachCall)
{
	for (int kind = 0; kind < FAULT_COUNT; kind++) {
		for (uint64_t at = 1;; at++) {
			std::mt19937_64 rng(at);
			Acknowledged acked;

			store_close(store);
			store = nullptr;
			disk.wipe();
			ASSERT_EQ(STORE_OK, open()) << text;
			disk.calls = 0;
			disk.fail_at = at;
			disk.kind = (enum fault)kind;
			run_operations(store, &acked);
			bool done = disk.calls < at;

			store_close(store);
			store = nullptr;
			disk.fail_at = 0;
			disk.lose_unsynced(rng);
			ASSERT_EQ(STORE_OK, open()) << text << at;
			EXPECT_GE(store_last_index(store), acked.min_last);
			EXPECT_LE(store_last_index(store), acked.max_last);
			EXPECT_GE(store_first_index(store), acked.snapshot + 1);
			EXPECT_GE(store_term(store), acked.term);
			EXPECT_LE(store_term(store), acked.max_term);
			expect_entries(store_first_index(store),
				       store_last_index(store));
			if (testing::Test::HasFailure())
				FAIL() << "kind " << kind << " call " << at;
			if (done)
				break;
		}
	}
}

// A damaged file must lead to an error or to a prefix of the original entries,
// never to other contents.
TEST_F(Store, MutatedFilesGiveAnErrorOrAPrefix)
{
	fill(6);
	ASSERT_EQ(STORE_OK, save_snapshot(store, 2, 1));
	store_close(store);
	store = nullptr;
	std::string names[] = { "/log", "/snapshot", "/hard-state" };

	for (uint64_t seed = 1; seed <= 3000; seed++) {
		std::mt19937_64 rng(seed);
		std::string path = disk.dir + names[rng() % 3];
		std::string whole = read_file(path), data = whole;

		for (uint64_t n = 1 + rng() % 4; n && !data.empty(); n--) {
			size_t at = rng() % data.size();

			if (rng() % 4 == 0)
				data.resize(at);
			else if (rng() % 4 == 0)
				data.insert(at, data.substr(0, rng() % 40));
			else
				data[at] = (char)rng();
		}
		std::string log = read_file(disk.dir + "/log");

		write_file(path, data);
		if (open() == STORE_OK) {
			ASSERT_LE(store_last_index(store), 6u) << seed;
			expect_entries(3, store_last_index(store));
		}
		ASSERT_FALSE(HasFailure()) << "seed " << seed;
		store_close(store);
		store = nullptr;
		write_file(disk.dir + "/log", log);
		write_file(path, whole);
	}
}

} // namespace
