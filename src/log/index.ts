/** Public API of the logs. */
export {createEventLog, type EventLog} from './event-log.js';
export {
	createLogger,
	logFormats,
	type LogFields,
	type LogFormat,
	type Logger,
} from './log.js';
