#include "observe/state_board.h"

#include <utility>

namespace sassafrasdyke::observe {

StateBoard::StateBoard()
    : newest{std::make_shared<const ControlState>(),
             std::make_shared<const DataState>()} {}

void StateBoard::Publish(ControlState state) {
  auto published = std::make_shared<const ControlState>(std::move(state));
  const std::lock_guard lock(this->mutex);
  this->newest.control = std::move(published);
}

void StateBoard::Publish(DataState state) {
  auto published = std::make_shared<const DataState>(state);
  const std::lock_guard lock(this->mutex);
  this->newest.data = std::move(published);
}

StateReading StateBoard::Read() const {
  const std::lock_guard lock(this->mutex);
  return this->newest;
}

}  // namespace sassafrasdyke::observe
