#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <thread>
#include <utility>

namespace masticgap::entry {

//! A thread that runs one io_context until stop().
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
  //! Runs a function on the thread.
  template <class Function> void post(Function &&Task) {
    boost::asio::post(Io, std::forward<Function>(Task));
  }
  //! Lets the thread end when nothing is pending any more. The guard belongs to
  //! the thread, since several threads may ask for the end.
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
