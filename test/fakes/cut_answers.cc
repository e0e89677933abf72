#include "test/fakes/cut_answers.h"

#include <array>
#include <cstdio>
#include <utility>

namespace lavenderkeel::fakes {

namespace {

std::string Chunk(std::string_view bytes) {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  return size.data() + std::string(bytes) + "\r\n";
}

}  // namespace

std::vector<FramedAnswer> FramedAnswers(const std::string& fields,
                                        const std::string& content) {
  const std::string head = "HTTP/1.1 200 OK\r\n" + fields;
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string_view text = content;
  const std::string chunks = Chunk(text.substr(0, text.size() / 2)) +
                             Chunk(text.substr(text.size() / 2));
  return {{.name = "length",
           .head = head + "Content-Length: " + std::to_string(content.size()) +
                   "\r\n\r\n",
           .body = content,
           .content = content},
          {.name = "chunks",
           .head = chunked,
           .body = chunks + "0\r\n\r\n",
           .content = content},
          {.name = "chunks and a trailer",
           .head = chunked,
           .body = chunks + "0\r\nX: y\r\n\r\n",
           .content = content},
          {.name = "end of the connection",
           .head = head + "Connection: close\r\n\r\n",
           .body = content,
           .content = content,
           .ends_with_connection = true}};
}

CutAnswer::CutAnswer(FramedAnswer answer_in, size_t size_in, bool reset_in)
    : answer(std::move(answer_in)),
      size(size_in),
      reset(reset_in),
      whole_(answer.bytes()) {}

std::string CutAnswer::Describe() const {
  return answer.name + (reset ? ", reset after " : ", closed after ") +
         std::to_string(size) + " of " + std::to_string(whole_.size());
}

void ForEachCut(const std::vector<FramedAnswer>& answers,
                const std::function<void(const CutAnswer&)>& check) {
  for (const FramedAnswer& answer : answers) {
    for (const bool reset : {false, true}) {
      for (size_t size = 0; size <= answer.bytes().size(); ++size) {
        check(CutAnswer(answer, size, reset));
      }
    }
  }
}

}  // namespace lavenderkeel::fakes
