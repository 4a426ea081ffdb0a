/** Public API of the table service: client, errors and HTTP exchanges. */
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
