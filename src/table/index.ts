/** Public surface of the table service: its client, what can go wrong with it, and its exchanges. */
export {sendExchange, type ExchangeResponse, type ExchangeRequest} from './exchange.js';
export {
	createTableClient,
	type ListRequest,
	type TableClient,
	type TableClientOptions,
	type TablePage,
	type WriteCondition,
} from './table-client.js';
export {
	createConflict,
	createRejected,
	createUnavailable,
	tableErrorKinds,
	type TableError,
	type TableErrorKind,
	type TableRow,
} from './table-error.js';
