/**
 * What one more entry of each kind of state costs a node: bytes of heap and microseconds of
 * processor time, measured over many entries in one process. The page on capacity works out the
 * whole size from these slopes.
 *
 * Usage: npm run bench:capacity
 */
import process from 'node:process';
import {
	admitAttempt,
	createAttemptTable,
	dispatchAttempt,
	finishAttempt,
} from '../src/call/index.js';
import {
	claimKey,
	createLedger,
	markAnswered,
	markDispatched,
} from '../src/binding/index.js';
import {updateServers, createLoadView} from '../src/routing/index.js';

type Slope = {
	readonly state: string;
	readonly entries: number;
	/** Heap that stays for one entry. */
	readonly 'bytes each': number;
	/** Time to bring one entry through its whole life. */
	readonly 'us each': number;
};

const keysPerRun = 20_000;
const settledAttempts = 4096;
const services = 1100;
const serversPerService = 21;
const hourMilliseconds = 3_600_000;

function collectGarbage(): number {
	globalThis.gc!();
	globalThis.gc!();
	return process.memoryUsage().heapUsed;
}

/** Runs `fill` and keeps what it returns alive until the heap is read. */
function measure(state: string, entries: number, fill: () => unknown): Slope {
	const before = collectGarbage();
	const start = process.hrtime.bigint();
	const kept = fill();
	const nanoseconds = Number(process.hrtime.bigint() - start);
	const bytes = collectGarbage() - before;
	if (kept === undefined) {
		throw new Error(`nothing was kept of ${state}`);
	}

	return {
		state,
		entries,
		'bytes each': Math.round(bytes / entries),
		'us each': Math.round(nanoseconds / entries / 10) / 100,
	};
}

function fillLedger(): unknown {
	const ledger = createLedger();
	const answer = {
		status: 201,
		headers: ['content-type', 'application/json'],
		body: undefined,
	};
	for (let index = 0; index < keysPerRun; index += 1) {
		const keyId = `key-${index}`.padEnd(40, 'x');
		const request = {keyId, fingerprint: `digest-${index}`, expiresAt: hourMilliseconds};
		claimKey(ledger, request, 0);
		markDispatched(ledger, keyId);
		markAnswered(ledger, keyId, {...answer, headers: [...answer.headers]});
	}

	return ledger;
}

function fillAttempts(): unknown {
	const table = createAttemptTable();
	for (let sequence = 1; sequence <= settledAttempts; sequence += 1) {
		const id = {ingress: `node-${sequence % 64}/1`, sequence};
		admitAttempt(table, id);
		dispatchAttempt(table, id);
		finishAttempt(table, id);
	}

	return table;
}

function fillLoadView(): unknown {
	const view = createLoadView({
		nodeId: 'node-0',
		region: 'coast',
		failureDomain: 'coast-a',
	});
	for (let service = 0; service < services; service += 1) {
		const candidates = Array.from({length: serversPerService}, (_, index) => ({
			nodeId: `node-${service}-${index}`,
			incarnation: 1,
			region: 'coast',
			failureDomain: index % 2 === 0 ? 'coast-a' : 'coast-b',
			slots: 10,
		}));
		updateServers(view, `service-${service}`, candidates, 0);
	}

	return view;
}

const slopes = [
	measure('key in the ledger (answer without its body)', keysPerRun, fillLedger),
	measure('settled attempt at the gate', settledAttempts, fillAttempts),
	measure('server in the load view', services * serversPerService, fillLoadView),
];
console.table(slopes);
console.log(JSON.stringify(slopes));
