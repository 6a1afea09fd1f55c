// Random corruption of text, for tests of parsers.
#ifndef MUTATE_H
#define MUTATE_H

#include <random>
#include <string>

// Applies 1 to 4 random edits, which replace, remove, repeat, insert or copy
// bytes.
static inline std::string mutate(std::string text, std::mt19937 &random)
{
	static const std::string bytes("\0\t\n :-[]{}&*!|>'\"%@`#?,0~\xff\x80",
				       28);

	for (unsigned n = 1 + random() % 4; n && !text.empty(); n--) {
		size_t at = random() % text.size();
		size_t len = 1 + random() % 40;

		switch (random() % 5) {
		case 0:
			text[at] = bytes[random() % bytes.size()];
			break;
		case 1:
			text.erase(at, len);
			break;
		case 2:
			text.insert(at, text.substr(at, len));
			break;
		case 3:
			text.insert(at, 1, bytes[random() % bytes.size()]);
			break;
		default:
			text.insert(random() % text.size(),
				    text.substr(at, len));
		}
	}
	return text;
}

#endif
