#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <thread>
#include <utility>

namespace masticgap::entry {

//! Thread that runs one io_context until finish().
class IoThread {
public:
  IoThread() : WorkGuard(boost::asio::make_work_guard(Io)) {}
  ~IoThread() { join(); }
  IoThread(const IoThread &) = delete;
  IoThread &operator=(const IoThread &) = delete;

  boost::asio::io_context &io() { return Io; }
  void start() {
    Thread = std::thread([this] { Io.run(); });
  }
  //! Posts a function to the thread.
  template <class Function> void post(Function &&Task) {
    boost::asio::post(Io, std::forward<Function>(Task));
  }
  //! Lets the thread end once no work is pending. The work guard is reset on
  //! the thread itself because several threads may call finish().
  void finish() {
    post([this] { WorkGuard.reset(); });
  }
  void join() {
    if (!Thread.joinable())
      return;
    finish();
    Thread.join();
  }

private:
  boost::asio::io_context Io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      WorkGuard;
  std::thread Thread;
};

} // namespace masticgap::entry
