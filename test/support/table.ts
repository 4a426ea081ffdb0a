/** Runs the table stand-in inside the test process. */
import {createServer} from 'node:http';
import {createTableClient, type TableClient} from '../../src/table/index.js';
import {createTableHandler} from '../../stand-ins/table/handler.js';

export const shortTimeoutMilliseconds = 150;

/** Runs the stand-in on a free port, by default with a client of short timeout, and stops it after use. */
export async function withTable(
	use: (
		table: TableClient,
		setFaults: (faults: unknown) => Promise<void>,
	) => Promise<void>,
	timeoutMilliseconds = shortTimeoutMilliseconds,
): Promise<void> {
	const handle = createTableHandler();
	const server = createServer((request, response) => {
		void handle(request, response);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const boundAddress = server.address();
	const port = typeof boundAddress === 'object' ? boundAddress?.port : undefined;
	const address = `http://127.0.0.1:${port}`;
	const table = createTableClient({
		address,
		timeoutMilliseconds,
	});
	try {
		await use(table, async faults => {
			await fetch(`${address}/faults`, {method: 'PUT', body: JSON.stringify(faults)});
		});
	} finally {
		table.close();
		server.closeAllConnections();
		server.close();
	}
}
