// I/O functions for store_open() that fail at a chosen call and can discard
// unsynced data. They use real files; syncs are only recorded, which keeps the
// tests fast.
#ifndef FAULT_DISK_H
#define FAULT_DISK_H

#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <random>
#include <string>
#include <sys/stat.h>
#include <unistd.h>
#include <vector>

#include "store.h"

// FAULT_SHORT writes half of the data and fails with ENOSPC. FAULT_CRASH writes
// half of it, and all later calls fail.
enum fault { FAULT_EIO, FAULT_FULL, FAULT_SHORT, FAULT_CRASH, FAULT_COUNT };

class FaultDisk
{
public:
	std::string dir;
	uint64_t calls = 0;
	uint64_t fail_at = 0; // number of the call that fails, 0: none
	enum fault kind = FAULT_EIO;
	bool crashed = false;
	bool full = false; // every write fails
	bool truncate_fails = false;
	std::string trace; // a letter per call: write, sync, rename, truncate

	explicit FaultDisk(const std::string &base)
	{
		root = base;
		dir = base + "/data";
		wipe();
	}
	~FaultDisk()
	{
		std::filesystem::remove_all(root);
	}
	void wipe()
	{
		std::filesystem::remove_all(root);
		std::filesystem::create_directories(dir);
		std::filesystem::create_directories(root + "/old");
		synced.clear();
		replaced.clear();
	}
	const struct store_io *io()
	{
		static const struct store_io none = {};

		table = none;
		table.arg = this;
		table.write = on_write;
		table.fsync = on_fsync;
		table.rename = on_rename;
		table.ftruncate = on_ftruncate;
		return &table;
	}
	// Discards unsynced data, as a power failure does. Call it with the
	// store closed.
	void lose_unsynced(std::mt19937_64 &rng)
	{
		for (const auto &old :
		     std::filesystem::directory_iterator(root + "/old"))
			if (rng() % 2)
				std::filesystem::rename(
					old.path(),
					dir + "/" +
						old.path().filename().string());
			else
				std::filesystem::remove(old.path());
		truncate_unsynced(dir + "/log", rng);
		replaced.clear();
		crashed = false;
	}

private:
	std::string root;
	struct store_io table;
	std::map<ino_t, uint64_t> synced; // length at the last sync
	// Files replaced by a rename since the last sync of the directory; a
	// power failure can bring them back.
	std::vector<std::string> replaced;

	void truncate_unsynced(const std::string &path, std::mt19937_64 &rng)
	{
		struct stat st;

		if (stat(path.c_str(), &st))
			return;
		uint64_t size = st.st_size, kept = synced[st.st_ino];

		if (kept < size)
			kept += rng() % (size - kept + 1);
		if (kept < size && truncate(path.c_str(), kept))
			abort();
	}
	// Returns true when this call must fail; errno is set.
	bool fails(char letter)
	{
		trace += letter;
		calls++;
		if (crashed) {
			errno = EIO;
			return true;
		}
		if (full && letter == 'w') {
			errno = ENOSPC;
			return true;
		}
		if (calls != fail_at)
			return false;
		crashed = kind == FAULT_CRASH;
		errno = kind == FAULT_FULL || kind == FAULT_SHORT ? ENOSPC :
								    EIO;
		return true;
	}
	static ssize_t on_write(void *arg, int fd, const void *data, size_t len)
	{
		FaultDisk *disk = (FaultDisk *)arg;

		if (disk->fails('w')) {
			int error = errno;

			// Half of the data is written before the error.
			if (!disk->full && disk->kind >= FAULT_SHORT &&
			    disk->calls == disk->fail_at &&
			    write(fd, data, len / 2) < 0)
				abort();
			errno = error;
			return -1;
		}
		return write(fd, data, len);
	}
	static int on_fsync(void *arg, int fd)
	{
		FaultDisk *disk = (FaultDisk *)arg;
		struct stat st;

		if (disk->fails('s'))
			return -1;
		if (fstat(fd, &st))
			abort();
		if (S_ISDIR(st.st_mode)) {
			for (const std::string &name : disk->replaced)
				unlink((disk->root + "/old/" + name).c_str());
			disk->replaced.clear();
		} else {
			disk->synced[st.st_ino] = st.st_size;
		}
		return 0;
	}
	static int on_rename(void *arg, const char *from, const char *to)
	{
		FaultDisk *disk = (FaultDisk *)arg;
		std::string name = std::filesystem::path(to).filename();

		if (disk->fails('r'))
			return -1;
		// A power failure can bring the old file back until the
		// directory is synced.
		if (!link(to, (disk->root + "/old/" + name).c_str()))
			disk->replaced.push_back(name);
		else if (errno != ENOENT)
			abort();
		return rename(from, to);
	}
	static int on_ftruncate(void *arg, int fd, off_t len)
	{
		FaultDisk *disk = (FaultDisk *)arg;

		if (disk->fails('t') || disk->truncate_fails) {
			errno = EIO;
			return -1;
		}
		return ftruncate(fd, len);
	}
};

#endif
