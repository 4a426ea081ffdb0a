/** Public interface of HTTP: client exchanges, server responses and results exchanged by nodes. */
export {
	createMalformedHeadRefusal,
	refuseMalformedHead,
	refuseNonPeer,
	writeResponse,
	writeRefusal,
	writeAttemptResult,
	type ExtraHeaders,
} from './response.js';
export {bufferOrStream, collectBody, collectResponse} from './buffer-body.js';
export {createByteCollector, type ByteCollector} from './byte-collector.js';
export {joinPieces} from './joined-pieces.js';
export {
	createCallerConnections,
	type CallerConnections,
	type CallerConnectionsOptions,
} from './caller-connections.js';
export {closeToNewConnections} from './close.js';
export {
	exchangeKinds,
	startExchange,
	bufferedBodyLimitBytes,
	type ExchangeAnswered,
	type ExchangeFailed,
	type ExchangeRequest,
	type ExchangeResult,
	type RunningExchange,
} from './exchange.js';
export {isListening} from './server-probe.js';
export {refuseMalformed} from './malformed-request.js';
export {
	encodeHeaderText,
	findRequestHeadFault,
	isHeaderValue,
	isPrintable,
	isRequestTarget,
	type RequestHead,
} from './message-head.js';
export {
	connectionStates,
	createOpenCalls,
	type ConnectionState,
	type OpenCalls,
} from './open-calls.js';
export {decodePathSegment} from './path.js';
export {awaitSoundResponse} from './sound-response.js';
export {readPeerResult} from './peer-result.js';
export {hasSmallBody, readSmallBody} from './request-body.js';
