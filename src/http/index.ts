/** Public surface of HTTP: exchanges as a client, answers as a server, and what nodes tell each other. */
export {
	refuseStranger,
	writeAnswer,
	writeRefusal,
	writeResult,
	type ExtraHeaders,
} from './answer.js';
export {closeToNewConnections} from './close.js';
export {
	collectWhole,
	exchangeKinds,
	startExchange,
	wholeBodyLimitBytes,
	type ExchangeAnswered,
	type ExchangeFailed,
	type ExchangeRequest,
	type ExchangeResult,
	type RunningExchange,
} from './exchange.js';
export {refuseMalformed} from './malformed-request.js';
export {
	connectionUses,
	createOpenCalls,
	type ConnectionUse,
	type OpenCalls,
} from './open-calls.js';
export {readPeerResult} from './peer-result.js';
export {hasSmallBody, readSmallBody} from './request-body.js';
