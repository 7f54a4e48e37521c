#include "Targets/LoadReportJson.h"

#include <QJsonDocument>
#include <QJsonObject>

namespace ragwortdeck {

namespace {

constexpr double kMaxExact = 9007199254740991.0;
constexpr double kMaxUint32 = 4294967295.0;

/// Reads a non-negative metric; returns false when it is out of range.
template<typename T>
bool
Read(const QJsonObject& aMetrics, const char* aName, double aMax, T& aValue)
{
  const auto value = aMetrics[QLatin1String(aName)];
  if (value.isUndefined()) {
    return true;
  }
  if (!value.isDouble() || value.toDouble() < 0 || value.toDouble() > aMax) {
    return false;
  }
  aValue = T(value.toDouble());
  return true;
}

/// The names behind metrics "model.<name>", when "ready_models" is present: the
/// metrics of an ORCA report are numbers by name.
std::optional<std::vector<ModelName>>
ReadyModels(const QJsonObject& aMetrics)
{
  if (!aMetrics.contains(QLatin1String("ready_models"))) {
    return std::nullopt;
  }
  const QLatin1String prefix("model.");
  std::vector<ModelName> models;
  for (auto it = aMetrics.begin(); it != aMetrics.end(); ++it) {
    if (it.key().startsWith(prefix) && it.value().toDouble() > 0) {
      models.emplace_back(it.key().mid(prefix.size()).toStdString());
    }
  }
  return models;
}

} // namespace

Result<LoadReport>
ParseLoadReport(std::string_view aJson)
{
  const auto document =
    QJsonDocument::fromJson(QByteArray(aJson.data(), qsizetype(aJson.size())));
  const auto metrics = document.object()["named_metrics"];
  if (!metrics.isObject()) {
    return Failure(ErrorCode::kCorrupt,
                   "a load report without 'named_metrics'");
  }
  const auto named = metrics.toObject();
  LoadReport report;
  const bool isValid =
    Read(named, "memory_tokens", kMaxExact, report.mMemoryTokens) &&
    Read(named, "memory_used_tokens", kMaxExact, report.mMemoryUsedTokens) &&
    Read(named, "running", kMaxUint32, report.mRunning) &&
    Read(named, "waiting", kMaxUint32, report.mWaiting) &&
    Read(named, "max_batch", kMaxUint32, report.mMaxBatch) &&
    Read(named, "preemptions", kMaxExact, report.mPreemptions);
  if (!isValid) {
    return Failure(ErrorCode::kCorrupt,
                   "a load report with a metric out of range");
  }
  report.mReadyModels = ReadyModels(named);
  return report;
}

} // namespace ragwortdeck
