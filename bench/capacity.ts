/**
 * Measures what each additional entry of a kind of state costs a node: bytes of heap and
 * microseconds, averaged over many entries in one process. The capacity page derives the total size
 * from these costs.
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

type EntryCost = {
	readonly state: string;
	readonly entries: number;
	/** Retained heap per entry. */
	readonly 'bytes each': number;
	/** Time for all state changes of one entry. */
	readonly 'us each': number;
};

const keysPerRun = 20_000;
const finishedAttempts = 4096;
const services = 1100;
const serversPerService = 21;
const hourMilliseconds = 3_600_000;

function measureHeapAfterGc(): number {
	globalThis.gc!();
	globalThis.gc!();
	return process.memoryUsage().heapUsed;
}

/** Measures `fill`; its result stays reachable until the heap size is read. */
function measure(state: string, entries: number, fill: () => unknown): EntryCost {
	const before = measureHeapAfterGc();
	const start = process.hrtime.bigint();
	const filledState = fill();
	const nanoseconds = Number(process.hrtime.bigint() - start);
	const bytes = measureHeapAfterGc() - before;
	if (filledState === undefined) {
		throw new Error(`fill returned no state to measure for ${state}`);
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
	for (let sequence = 1; sequence <= finishedAttempts; sequence += 1) {
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

const costs = [
	measure('key in the ledger (answer without its body)', keysPerRun, fillLedger),
	measure('settled attempt at the gate', finishedAttempts, fillAttempts),
	measure('server in the load view', services * serversPerService, fillLoadView),
];
console.table(costs);
console.log(JSON.stringify(costs));
