#ifndef LAVENDERKEEL_TEST_FAKES_CUT_ANSWERS_H_
#define LAVENDERKEEL_TEST_FAKES_CUT_ANSWERS_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderkeel::fakes {

/// An answer whose end is marked in one of the ways of HTTP/1.1.
struct FramedAnswer {
  std::string name;
  std::string head;
  std::string body;
  /// The body without its framing.
  std::string content;
  /// The body ends with the connection.
  bool ends_with_connection = false;

  std::string bytes() const { return head + body; }
};

/// Returns answers with the status 200 and further fields, each with its CRLF.
std::vector<FramedAnswer> FramedAnswers(const std::string& fields,
                                        const std::string& content);

/// An answer that ends early.
struct CutAnswer {
  FramedAnswer answer;
  /// The number of bytes before the end of the connection.
  size_t size = 0;
  /// Whether the connection ends by a reset.
  bool reset = false;

  std::string_view bytes() const {
    return std::string_view(whole_).substr(0, size);
  }
  /// Whether HTTP has it that the answer is complete.
  bool is_whole() const {
    return answer.ends_with_connection ? !reset && size >= answer.head.size()
                                       : size == whole_.size();
  }
  /// What it is, for messages.
  std::string Describe() const;

  CutAnswer(FramedAnswer answer, size_t size, bool reset);

 private:
  std::string whole_;
};

/// Calls the function with each answer, cut at each byte, by a close and by a
/// reset.
void ForEachCut(const std::vector<FramedAnswer>& answers,
                const std::function<void(const CutAnswer&)>& check);

}  // namespace lavenderkeel::fakes

#endif  // LAVENDERKEEL_TEST_FAKES_CUT_ANSWERS_H_
