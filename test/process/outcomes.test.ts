/**
 * Compares the outcomes reported to callers with the servers' journals, for every kind of fault:
 * a call reported as `not-run` is in no journal, one reported as `ran` is in a journal, and
 * `unknown` is reported only where the fault can cause it.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {test} from 'node:test';
import {expect} from 'earl';
import {cuts} from '../../stand-ins/network/link-proxy.js';
import {sendCall, type CallAnswer} from '../support/http.js';
import {readJournal, startMesh, type MeshNode} from '../support/mesh.js';
import type {Cleaner} from '../support/processes.js';

const service = 'availability';
const callCount = 30;
const deadlineMilliseconds = 600;
const settleMilliseconds = 1500;
const sendSpacingMilliseconds = 10;

type Pair = {readonly gate: MeshNode; readonly ingress: MeshNode};

type FaultCase = {
	readonly name: string;
	/** Injects the fault while the calls are sent, and reverts it where that is possible. */
	readonly inject: (pair: Pair) => Promise<void>;
	readonly slots?: number;
	readonly serviceTimeMilliseconds?: number;
	/** Whether the fault can leave an outcome unknown. */
	readonly canBeUnknown: boolean;
	/** Whether the server's journal is lost with the server. */
	readonly journalLost?: boolean;
};

async function freeze(node: MeshNode, milliseconds: number): Promise<void> {
	node.process.signal('SIGSTOP');
	await sleep(milliseconds);
	node.process.signal('SIGCONT');
}

async function cutLinks(
	node: MeshNode,
	cut: 'silent' | 'reset' | 'answers',
): Promise<void> {
	const links = [node.links!.peer, node.links!.control];
	for (const link of links) {
		link.setQuality({cut: cuts[cut]});
	}

	await sleep(1000);
	for (const link of links) {
		link.setQuality({cut: cuts.none});
	}
}

const cases: readonly FaultCase[] = [
	{name: 'no fault', inject: async () => sleep(0), canBeUnknown: false},
	{
		name: 'the gate is frozen and resumed',
		inject: async ({gate}) => freeze(gate, 1000),
		canBeUnknown: true,
	},
	{
		name: 'the gate is frozen after it dispatched calls',
		serviceTimeMilliseconds: 150,
		async inject({gate}) {
			await sleep(100);
			await freeze(gate, 1000);
		},
		canBeUnknown: true,
	},
	{
		name: 'the ingress is frozen and resumed',
		inject: async ({ingress}) => freeze(ingress, 1000),
		canBeUnknown: true,
	},
	{
		name: 'the server is frozen and resumed',
		async inject({gate}) {
			gate.server.signal('SIGSTOP');
			await sleep(1000);
			gate.server.signal('SIGCONT');
		},
		canBeUnknown: true,
	},
	{
		name: 'the connection to the gate is reset',
		inject: async ({gate}) => cutLinks(gate, 'reset'),
		canBeUnknown: true,
	},
	{
		name: 'traffic to and from the gate is lost',
		inject: async ({gate}) => cutLinks(gate, 'silent'),
		canBeUnknown: true,
	},
	{
		name: 'responses of the gate are lost',
		inject: async ({gate}) => cutLinks(gate, 'answers'),
		canBeUnknown: true,
	},
	{
		name: 'the gate is killed',
		async inject({gate}) {
			await sleep(100);
			gate.process.signal('SIGKILL');
			await gate.process.ended;
		},
		canBeUnknown: true,
	},
	{
		name: 'deadlines expire in the queue',
		slots: 1,
		serviceTimeMilliseconds: 100,
		inject: async () => sleep(0),
		canBeUnknown: false,
	},
	{
		name: 'the server sheds load',
		async inject({gate}) {
			await putFaults(gate, {shed: true});
			await sleep(300);
			await putFaults(gate, {shed: false});
		},
		canBeUnknown: false,
	},
];

for (const faultCase of cases) {
	test(`reported outcomes match the journal: ${faultCase.name}`, async context => {
		const pair = await startPair(context, faultCase);
		const [answers] = await Promise.all([
			sendCalls(pair.ingress, faultCase.name),
			faultCase.inject(pair),
		]);
		await sleep(settleMilliseconds);
		const journal = await readJournal(pair.gate);
		const ran = new Set(journal.map(entry => entry.requestId));
		const counts = countOutcomes(answers);
		console.log(
			`${faultCase.name}: ${JSON.stringify(counts)}, in the journal: ${ran.size}`,
		);
		for (const [requestId, answer] of answers) {
			expect([
				requestId,
				answer.outcome,
				matchesJournal(answer, ran.has(requestId)),
			]).toEqual([requestId, answer.outcome, true]);
			if (!faultCase.canBeUnknown) {
				expect([requestId, answer.outcome]).not.toEqual([requestId, 'unknown']);
			}
		}
	});
}

function matchesJournal(answer: CallAnswer, isInJournal: boolean): boolean {
	if (answer.outcome === 'ran') {
		return isInJournal;
	}

	if (answer.outcome === 'not-run') {
		return !isInJournal;
	}

	return answer.outcome === 'unknown';
}

async function startPair(context: Cleaner, faultCase: FaultCase): Promise<Pair> {
	const {slots = 10, serviceTimeMilliseconds = 5} = faultCase;
	const [gate, ingress] = await startMesh(context, [
		{service, slots, serviceTimeMilliseconds, hasLinkProxies: true},
		{service: 'booking'},
	]);
	return {gate: gate!, ingress: ingress!};
}

async function sendCalls(node: MeshNode, name: string): Promise<Map<string, CallAnswer>> {
	const answers = new Map<string, CallAnswer>();
	const sent: Array<Promise<void>> = [];
	for (let index = 0; index < callCount; index += 1) {
		const requestId = `${name}-${index}`;
		const call = sendCall({
			port: node.dataPort,
			service,
			path: `/bays/${index}`,
			headers: {
				'x-request-id': requestId,
				'foxtailtide-deadline-ms': String(deadlineMilliseconds),
			},
		});
		sent.push(
			call.then(answer => {
				answers.set(requestId, answer);
			}),
		);
		await sleep(sendSpacingMilliseconds);
	}

	await Promise.all(sent);
	return answers;
}

function countOutcomes(answers: ReadonlyMap<string, CallAnswer>): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {outcome} of answers.values()) {
		counts[outcome] = (counts[outcome] ?? 0) + 1;
	}

	return counts;
}

async function putFaults(node: MeshNode, faults: Record<string, unknown>): Promise<void> {
	const answer = await sendCall({
		port: node.serverPort,
		service: 'none',
		method: 'PUT',
		path: '/stand-in/faults',
		body: JSON.stringify(faults),
	});
	expect(answer.status).toEqual(200);
}
