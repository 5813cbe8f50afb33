/// Messages into a task, from any other task.
#pragma once

#include <ev++.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace sassafrasdyke::app {

/// A bounded queue that wakes the loop of the task that owns it.
template <typename Message>
class Mailbox {
 public:
  /// Holds at most `capacity` messages; `take` runs on the loop's thread for
  /// each message, in order.
  Mailbox(ev::loop_ref loop, std::size_t capacity,
          std::function<void(Message)> take)
      : capacity(capacity), take(std::move(take)), wake(loop) {
    this->wake.template set<Mailbox, &Mailbox::OnWake>(this);
    this->wake.start();
  }

  /// Queues a message that can be lost: the sender's protocol repeats it.
  /// Counts it when there is no room.
  void Offer(Message message) {
    {
      const std::lock_guard lock(this->mutex);
      // A task that is stopped in a debugger or starved would otherwise let
      // its neighbours' messages fill the memory.
      if (this->queue.size() >= this->capacity) {
        ++this->dropped;
        return;
      }
      this->queue.push_back(std::move(message));
    }
    this->wake.send();
  }

  /// Queues a message that must arrive; there are few of them.
  void Post(Message message) {
    {
      const std::lock_guard lock(this->mutex);
      this->queue.push_back(std::move(message));
    }
    this->wake.send();
  }

  /// Messages offered for which there was no room.
  std::uint64_t Dropped() const { return this->dropped.load(); }

 private:
  void OnWake(ev::async&, int) {
    std::vector<Message> taken;
    {
      const std::lock_guard lock(this->mutex);
      taken.swap(this->queue);
    }
    for (Message& message : taken) {
      this->take(std::move(message));
    }
  }

  const std::size_t capacity;
  const std::function<void(Message)> take;
  std::mutex mutex;
  std::vector<Message> queue;
  std::atomic<std::uint64_t> dropped{0};
  ev::async wake;
};

}  // namespace sassafrasdyke::app
