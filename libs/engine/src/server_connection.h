#pragma once

#include <array>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "boost/asio/ip/tcp.hpp"
#include "boost/beast/core/flat_buffer.hpp"
#include "boost/beast/http/parser.hpp"
#include "boost/beast/http/string_body.hpp"
#include "engine/framing_budget.h"
#include "engine/http_server.h"

namespace cherrydyke::engine {

class ServerConnection;

struct HttpServer::State {
  explicit State(EventLoop& event_loop);

  EventLoop& loop;
  std::function<ServerLimits()> limits;
  Handler handler;
  std::function<HttpResponse()> provisional_refusal;
  std::function<HttpResponse()> overload_refusal;
  /// Null for a server without a group.
  ServerGroup* group = nullptr;
  /// Bytes that the kernel keeps at most for a connection that is not read.
  int receive_buffer_bytes = 0;
  boost::asio::ip::tcp::acceptor acceptor;
  std::list<std::weak_ptr<ServerConnection>> connections;
  bool close_after_response = false;
  size_t requests_in_flight = 0;
};

/// One caller's connection. A read is pending while a request is handled, to
/// detect that the caller disconnects; pipelined bytes are kept in a bounded
/// buffer.
class ServerConnection : public ServerGroup::Member,
                         public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(std::shared_ptr<HttpServer::State> state,
                   boost::asio::ip::tcp::socket socket);
  ~ServerConnection() override;

  void Start();
  /// Closes the connection, or rejects the request being read, if its deadline
  /// has passed.
  void CheckTimeout(absl::Time now);
  void CloseIfIdle();
  /// @return whether a request has arrived or is being handled, or its response
  /// is on its way.
  bool IsBusy() const;
  void Close();
  void EndForLimit(CallerLimit limit) override;
  /// Ends the account of what the connection holds.
  void LeaveGroup();

 private:
  class Exchange;

  /// Buffer size of one read, in bytes; a usual request fits.
  static constexpr size_t kReadBytes = 4096;

  enum class Phase { kIdle, kReading, kRunning, kWriting, kClosed };
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void Read();
  /// @return whether enough bytes wait for the end of a response.
  bool IsReadingPaused() const;
  void OnBytes();
  /// @return whether the header, as far as it has arrived, is accepted.
  bool ParseHeader();
  /// @return whether the body, as far as it has arrived, is accepted.
  bool ParseBody();
  /// Rejects the request if the parser failed.
  /// @return whether it did not.
  bool CheckParsed(const boost::system::error_code& error);
  /// Makes the parser of the next request, with the limits in force.
  void StartParser();
  /// Responds with an error status to a request that was not accepted and
  /// closes the connection.
  void Reject(int status);
  /// Rejects a request that exceeds a limit on sizes.
  void RejectAsTooLarge(int status);
  void RespondAndClose(const HttpResponse& response);
  /// @return whether the header has a path, one host and unambiguous framing.
  bool IsValidRequest() const;
  void SendContinue();
  void Dispatch();
  /// @return whether the request is the one that is being handled. Others have
  /// their response, or their caller has left.
  bool IsRunning(uint64_t request_number) const;
  void Respond(const Exchange& exchange, const HttpResponse& response);
  void OnDisconnect(const Exchange& exchange, std::function<void()> callback);
  void Write(const std::shared_ptr<std::string>& bytes, bool keep);
  void OnWritten(bool keep);
  void OnPeerClosed();
  /// Begins a phase; the stage that the group sees changes with it.
  void SetPhase(Phase phase);
  HeldConnection Held() const;
  /// Tells the group what the connection holds.
  void ReportHeld();
  /// Tells the group that a limit ends the connection.
  void ReportLimited(CallerLimit limit) const;
  /// Frees what was received of a request that is not handled.
  void DropInput();
  /// Closes the connection if it is still idle, or reads on.
  void OnReadCancelled();

  std::shared_ptr<HttpServer::State> state_;
  boost::asio::ip::tcp::socket socket_;
  /// Separate from `input_`, whose free space moves when a pipelined request is
  /// consumed while a read is pending.
  std::array<char, kReadBytes> read_buffer_{};
  boost::beast::flat_buffer input_;
  /// Of the request being read.
  std::optional<Parser> parser_;
  FramingBudget framing_;
  /// Of the request being read, without trailers.
  std::vector<HttpHeader> headers_;
  /// Memory of the current request's header, at most.
  size_t header_bytes_ = 0;
  /// Of its body, once it is read.
  size_t body_bytes_ = 0;
  /// Of the response that is being written.
  size_t response_bytes_ = 0;
  Phase phase_ = Phase::kIdle;
  absl::Time phase_began_at_;
  /// In the group; 0 outside of it.
  uint64_t group_id_ = 0;
  bool reading_ = false;
  bool peer_closed_ = false;
  /// Whether the pending read was cancelled to close the idle connection.
  bool closing_when_quiet_ = false;
  bool keep_alive_ = true;
  /// Whether the last response is sent, so that received bytes are discarded
  /// until the caller closes the connection.
  bool lingering_ = false;
  /// Whether the current request has been responded to.
  bool responded_ = false;
  ServerLimits limits_;
  absl::Time deadline_;
  std::string peer_;
  CallerConnectionInfo connection_info_;
  /// Of the last request that was read completely, counted from 1.
  uint64_t request_number_ = 0;
  std::function<void()> on_disconnect_;
};

}  // namespace cherrydyke::engine
