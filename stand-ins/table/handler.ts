/**
 * HTTP handler of the table stand-in: rows under `/rows`, faults under `/faults` and counters
 * under `/counters`. `/rows` follows the contract of `src/platform`.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {text} from 'node:stream/consumers';
import {setTimeout as wait} from 'node:timers/promises';
import {
	createFaultState,
	faultsSchema,
	outages,
	isSubjectToLoss,
	drawLoss,
	type FaultState,
} from './faults.js';
import {
	createRows,
	listRows,
	meetsCondition,
	writeRow,
	type Condition,
	type Row,
	type Rows,
} from './rows.js';

const defaultPageRows = 1000;
const rowsPath = '/rows';

type Counters = {
	reads: number;
	lists: number;
	writes: number;
	removals: number;
	conflicts: number;
};

type Table = {readonly rows: Rows; faultState: FaultState; readonly counters: Counters};

type TableResponse = {
	readonly status: number;
	readonly headers?: Record<string, string>;
	readonly body?: string;
};

/** Creates the handler of one table with its own rows, faults and counters. */
export function createTableHandler() {
	const table: Table = {
		rows: createRows(),
		faultState: createFaultState(),
		counters: {reads: 0, lists: 0, writes: 0, removals: 0, conflicts: 0},
	};
	return async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const body = await text(request);
		const url = new URL(request.url ?? '/', 'http://table');
		if (url.pathname === '/faults' || url.pathname === '/counters') {
			send(response, handleControlRequest(table, request.method, url.pathname, body));
			return;
		}

		await handleRows(table, {request, response, url, body});
	};
}

async function handleRows(
	table: Table,
	call: {request: IncomingMessage; response: ServerResponse; url: URL; body: string},
): Promise<void> {
	const {request, response, url, body} = call;
	const {faults} = table.faultState;
	const method = request.method ?? 'GET';
	const key = decodeURIComponent(url.pathname.slice(rowsPath.length + 1));
	if (faults.delayMilliseconds > 0) {
		await wait(faults.delayMilliseconds);
	}

	if (faults.outage === outages.hangs) {
		return;
	}

	if (faults.outage === outages.refuses) {
		send(response, {status: 503, headers: {'retry-after': '1'}});
		return;
	}

	const isLossCandidate = isSubjectToLoss(
		faults,
		method,
		key || (url.searchParams.get('prefix') ?? ''),
	);
	const isConnectionCut = faults.outage === outages.cuts;
	if (
		isConnectionCut ||
		(isLossCandidate && drawLoss(table.faultState, 'requestsLost'))
	) {
		request.socket.destroy();
		return;
	}

	const result = processRowsRequest(table, method, {
		key,
		url,
		body,
		headers: request.headers,
	});
	if (isLossCandidate && drawLoss(table.faultState, 'answersLost')) {
		request.socket.destroy();
		return;
	}

	send(response, result);
}

type RowsRequest = {
	readonly key: string;
	readonly url: URL;
	readonly body: string;
	readonly headers: IncomingMessage['headers'];
};

function processRowsRequest(
	table: Table,
	method: string,
	request: RowsRequest,
): TableResponse {
	if (!request.url.pathname.startsWith(rowsPath)) {
		return {status: 404};
	}

	if (method === 'GET' && request.key === '') {
		table.counters.lists += 1;
		const {searchParams} = request.url;
		const limit = Number(searchParams.get('limit') ?? defaultPageRows);
		const prefix = searchParams.get('prefix') ?? '';
		const {rows, next} = listRows(
			table.rows,
			prefix,
			searchParams.get('after') ?? '',
			limit,
		);
		const hasVersionsOnly = searchParams.get('fields') === 'version';
		const returnedRows = hasVersionsOnly
			? rows.map(({key, version}) => ({key, version}))
			: rows;
		return {status: 200, body: JSON.stringify({rows: returnedRows, next})};
	}

	if (method === 'GET') {
		table.counters.reads += 1;
		const row = table.rows.byKey.get(request.key);
		return row === undefined ? {status: 404} : createRowResponse(200, row);
	}

	if (method === 'PUT' || method === 'DELETE') {
		return changeRow(table, method, request);
	}

	return {status: 405};
}

function changeRow(
	table: Table,
	method: 'PUT' | 'DELETE',
	request: RowsRequest,
): TableResponse {
	const condition = parseCondition(request.headers);
	if (condition === undefined) {
		return {status: 428, body: 'send If-None-Match: * or If-Match: "version"'};
	}

	table.counters[method === 'PUT' ? 'writes' : 'removals'] += 1;
	const current = table.rows.byKey.get(request.key);
	if (!meetsCondition(current, condition)) {
		table.counters.conflicts += 1;
		return current === undefined ? {status: 412} : createRowResponse(412, current);
	}

	if (method === 'DELETE') {
		table.rows.byKey.delete(request.key);
		return {status: 204};
	}

	const row = writeRow(table.rows, request.key, request.body);
	return {status: current === undefined ? 201 : 200, headers: {etag: `"${row.version}"`}};
}

function parseCondition(headers: IncomingMessage['headers']): Condition | undefined {
	if (headers['if-none-match'] === '*') {
		return {kind: 'absent'};
	}

	const version = headers['if-match']?.replaceAll('"', '');
	return version === undefined ? undefined : {kind: 'version', version};
}

function createRowResponse(status: number, row: Row): TableResponse {
	return {status, headers: {etag: `"${row.version}"`}, body: row.value};
}

function handleControlRequest(
	table: Table,
	method: string | undefined,
	path: string,
	body: string,
): TableResponse {
	if (path === '/counters') {
		return {status: 200, body: JSON.stringify(table.counters)};
	}

	if (method === 'GET') {
		return {status: 200, body: JSON.stringify(table.faultState.faults)};
	}

	const parsed = faultsSchema.safeParse(JSON.parse(body === '' ? '{}' : body));
	if (!parsed.success) {
		return {status: 400, body: parsed.error.message};
	}

	table.faultState = createFaultState(parsed.data);
	return {status: 200, body: JSON.stringify(parsed.data)};
}

function send(response: ServerResponse, result: TableResponse): void {
	const body = result.body ?? '';
	const length = result.status === 204 ? {} : {'content-length': Buffer.byteLength(body)};
	response.writeHead(result.status, {...length, ...result.headers});
	response.end(result.status === 204 ? undefined : body);
}
