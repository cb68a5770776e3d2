// Binary heap of small integers ordered by a key, with update and removal of
// any item. The item's positions live in an array of the caller's, which
// several heaps may share if their items are distinct. Not for outside.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

namespace ebonygrade::place {

inline constexpr std::uint32_t kNone =
    std::numeric_limits<std::uint32_t>::max();

// Key needs operator< ; the least key is on top. Ties go to the lower item.
template <typename Key>
class indexed_heap {
 public:
  using positions = std::vector<std::uint32_t>;

  bool empty() const { return entries_.empty(); }
  std::size_t size() const { return entries_.size(); }
  std::uint32_t top() const { return entries_.front().item; }
  const Key& top_key() const { return entries_.front().key; }

  static bool contains(const positions& at, std::uint32_t item) {
    return item < at.size() && at[item] != kNone;
  }

  // Adds the item or gives it a new key.
  void update(positions& at, std::uint32_t item, const Key& key) {
    if (item >= at.size()) at.resize(item + 1, kNone);
    std::uint32_t i = at[item];
    if (i == kNone) {
      i = static_cast<std::uint32_t>(entries_.size());
      entries_.push_back({key, item});
      at[item] = i;
    } else {
      entries_[i].key = key;
    }
    if (!rise(at, i)) sink(at, i);
  }

  // Removes the item if it is present.
  void erase(positions& at, std::uint32_t item) {
    if (!contains(at, item)) return;
    std::uint32_t i = at[item];
    at[item] = kNone;
    entry last = entries_.back();
    entries_.pop_back();
    if (i == entries_.size()) return;
    entries_[i] = last;
    at[last.item] = i;
    if (!rise(at, i)) sink(at, i);
  }

 private:
  struct entry {
    Key key;
    std::uint32_t item;

    bool operator<(const entry& other) const {
      if (key < other.key) return true;
      if (other.key < key) return false;
      return item < other.item;
    }
  };

  void swap(positions& at, std::uint32_t a, std::uint32_t b) {
    std::swap(entries_[a], entries_[b]);
    at[entries_[a].item] = a;
    at[entries_[b].item] = b;
  }

  bool rise(positions& at, std::uint32_t i) {
    bool moved = false;
    while (i > 0) {
      std::uint32_t parent = (i - 1) / 2;
      if (!(entries_[i] < entries_[parent])) break;
      swap(at, i, parent);
      i = parent;
      moved = true;
    }
    return moved;
  }

  void sink(positions& at, std::uint32_t i) {
    while (true) {
      std::uint32_t child = 2 * i + 1;
      if (child >= entries_.size()) return;
      if (child + 1 < entries_.size() &&
          entries_[child + 1] < entries_[child]) {
        ++child;
      }
      if (!(entries_[child] < entries_[i])) return;
      swap(at, i, child);
      i = child;
    }
  }

  std::vector<entry> entries_;
};

}  // namespace ebonygrade::place
