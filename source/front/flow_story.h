/// Tells what became of a flow from the log lines of any number of instances:
/// every decision about it, what the deciding instances believed around that
/// time, and the cause in one sentence.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasdyke::front {

/// One line of the story.
struct StoryLine {
  std::chrono::milliseconds time{0};  ///< By the writer's clock.
  std::string instance;
  std::string what;  ///< Half a sentence.
};

/// A flow's story.
struct FlowStory {
  std::vector<StoryLine> lines;  ///< By time; instances' clocks may differ.
  std::string conclusion;        ///< One or two sentences.
  std::size_t unreadable{0};     ///< Lines that are none of the log's.
};

/// `flow` as the log writes it, "CLIENT:PORT->ADDRESS:PORT"; `lines` in any
/// order.
FlowStory TellFlow(std::string_view flow,
                   const std::vector<std::string>& lines);

/// The story as text for a person.
std::string WriteStory(const FlowStory& story);

}  // namespace sassafrasdyke::front
