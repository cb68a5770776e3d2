// Private header: a binary heap of small integers ordered by a key, with
// update and removal of any item. The caller owns the array of the items'
// positions in the heap. Several heaps may share it if no item is in two heaps.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

namespace ebonygrade::place {

inline constexpr std::uint32_t kNone =
    std::numeric_limits<std::uint32_t>::max();

// Key needs operator<. The least key is on top; of equal keys, the lower item.
template <typename Key>
class indexed_heap {
 public:
  using positions = std::vector<std::uint32_t>;

  bool empty() const { return entries_.empty(); }
  std::size_t size() const { return entries_.size(); }
  std::uint32_t top() const { return entries_.front().item; }
  const Key& top_key() const { return entries_.front().key; }

  static bool contains(const positions& position_of, std::uint32_t item) {
    return item < position_of.size() && position_of[item] != kNone;
  }

  // Adds the item, or changes its key.
  void update(positions& position_of, std::uint32_t item, const Key& key) {
    if (item >= position_of.size()) position_of.resize(item + 1, kNone);
    std::uint32_t i = position_of[item];
    if (i == kNone) {
      i = static_cast<std::uint32_t>(entries_.size());
      entries_.push_back({key, item});
      position_of[item] = i;
    } else {
      entries_[i].key = key;
    }
    if (!sift_up(position_of, i)) sift_down(position_of, i);
  }

  // Removes the item if it is present.
  void erase(positions& position_of, std::uint32_t item) {
    if (!contains(position_of, item)) return;
    std::uint32_t i = position_of[item];
    position_of[item] = kNone;
    entry last = entries_.back();
    entries_.pop_back();
    if (i == entries_.size()) return;
    entries_[i] = last;
    position_of[last.item] = i;
    if (!sift_up(position_of, i)) sift_down(position_of, i);
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

  void swap(positions& position_of, std::uint32_t a, std::uint32_t b) {
    std::swap(entries_[a], entries_[b]);
    position_of[entries_[a].item] = a;
    position_of[entries_[b].item] = b;
  }

  bool sift_up(positions& position_of, std::uint32_t i) {
    bool moved = false;
    while (i > 0) {
      std::uint32_t parent = (i - 1) / 2;
      if (!(entries_[i] < entries_[parent])) break;
      swap(position_of, i, parent);
      i = parent;
      moved = true;
    }
    return moved;
  }

  void sift_down(positions& position_of, std::uint32_t i) {
    while (true) {
      std::uint32_t child = 2 * i + 1;
      if (child >= entries_.size()) return;
      if (child + 1 < entries_.size() &&
          entries_[child + 1] < entries_[child]) {
        ++child;
      }
      if (!(entries_[child] < entries_[i])) return;
      swap(position_of, i, child);
      i = child;
    }
  }

  std::vector<entry> entries_;
};

}  // namespace ebonygrade::place
