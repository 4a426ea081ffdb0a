/** Public surface of the platform: the table service and what can go wrong with it. */
export {
	createTableClient,
	type ListRequest,
	type TableClient,
	type TableClientOptions,
	type TablePage,
	type WriteCondition,
} from './table-client.js';
export {
	tableErrorKinds,
	type TableError,
	type TableErrorKind,
	type TableRow,
} from './table-error.js';
