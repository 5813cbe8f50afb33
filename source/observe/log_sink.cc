#include "observe/log_sink.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loglevel.h>
#include <unistd.h>

#include <fstream>
#include <utility>

namespace sassafrasdyke::observe {
namespace {

log4cplus::LogLevel LevelOf(config::LogLevel level) {
  switch (level) {
    case config::LogLevel::kTrace:
      return log4cplus::TRACE_LOG_LEVEL;
    case config::LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case config::LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case config::LogLevel::kWarn:
      return log4cplus::WARN_LOG_LEVEL;
    case config::LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

log4cplus::SharedAppenderPtr MakeAppender(const std::string& file) {
  if (file.empty()) {
    constexpr bool kToStandardError = false;
    constexpr bool kFlushEachLine = true;
    return log4cplus::SharedAppenderPtr(
        new log4cplus::ConsoleAppender(kToStandardError, kFlushEachLine));
  }
  return log4cplus::SharedAppenderPtr(new log4cplus::FileAppender(
      LOG4CPLUS_STRING_TO_TSTRING(file), std::ios_base::app));
}

/// log4cplus reports an unwritable file on standard error only, and every line
/// would be lost without a word from the process.
bool CanAppend(const std::string& file) {
  return file.empty() || std::ofstream(file, std::ios_base::app).is_open();
}

}  // namespace

tl::expected<std::unique_ptr<LogSink>, std::string> Log4cplusSink::Open(
    const config::LogSettings& settings) {
  if (!CanAppend(settings.file)) {
    return tl::unexpected("the log file " + settings.file +
                          " can't be written");
  }
  // The library can't be started again once it was ended: a second log in the
  // same process would end it by an exception on the writer's thread.
  static const log4cplus::Initializer initializer;
  std::unique_ptr<LogSink> sink(new Log4cplusSink());
  const log4cplus::SharedAppenderPtr appender = MakeAppender(settings.file);
  appender->setLayout(
      std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%m%n")));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(LevelOf(settings.level));
  return sink;
}

Log4cplusSink::~Log4cplusSink() {
  log4cplus::Logger::getRoot().removeAllAppenders();
}

void Log4cplusSink::Write(const LogLine& line) {
  const std::string channel(Word(line.channel));
  log4cplus::Logger logger =
      log4cplus::Logger::getInstance(LOG4CPLUS_STRING_TO_TSTRING(channel));
  logger.log(LevelOf(line.level), LOG4CPLUS_STRING_TO_TSTRING(line.json));
}

}  // namespace sassafrasdyke::observe
