#pragma once

#include "Filters/ActionGuardFilter.h"
#include "Filters/AuthenticationFilter.h"
#include "Filters/CallerServer.h"
#include "Filters/ClassifyFilter.h"
#include "Filters/ParseFilter.h"
#include "Filters/RelaySession.h"
#include "Filters/RequestEnvironment.h"

#include <QHttpServerRequest>
#include <QTcpSocket>
#include <map>
#include <memory>

namespace ragwortdeck {

/// \brief The filter chain of one thread, from a parsed HTTP request to its
/// reply.
class RequestPath
{
public:
  RequestPath(RequestEnvironment& aEnvironment,
              CallerConnections& aConnections,
              std::string aIdPrefix);
  ~RequestPath();
  RequestPath(const RequestPath&) = delete;
  RequestPath& operator=(const RequestPath&) = delete;

  void Handle(const QHttpServerRequest& aRequest, QTcpSocket& aSocket);
  /// Ends all requests because the process ends; logs what it cut off.
  void CutOff();
  std::size_t OpenRequests() const { return mSessions.size(); }

private:
  void HandleOwn(const std::string& aPath, bool aIsPost, CallerExchange&);
  void HandleRouted(RequestContext aContext);
  std::optional<Verdict> Filter(RequestContext& aContext) const;
  void Run(RequestContext aContext);
  void StartSession(RequestContext aContext, bool aIsNew);
  void ForwardToEngine(const RequestContext& aContext, bool aIsCancel);
  void ListModels(const RequestContext& aContext);
  void Refuse(CallerExchange& aExchange,
              const Verdict& aVerdict,
              HttpHeaders aHeaders = {});
  RequestId NextId();

  RequestEnvironment& mEnvironment;
  CallerConnections& mConnections;
  AuthenticationFilter mAuthentication;
  ParseFilter mParse;
  ClassifyFilter mClassify;
  ActionGuardFilter mActionGuard;
  std::string mIdPrefix;
  std::uint64_t mNextId = 1;
  RandomSource mRandom;
  std::map<RelaySession*, std::shared_ptr<RelaySession>> mSessions;
};

} // namespace ragwortdeck
