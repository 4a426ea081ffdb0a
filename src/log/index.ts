/** Public surface of the logs. */
export {
	createLogger,
	logFormats,
	type LogFields,
	type LogFormat,
	type Logger,
} from './log.js';
