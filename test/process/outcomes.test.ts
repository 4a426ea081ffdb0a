/**
 * What callers are told against what the servers' journals say, after every kind of fault:
 * nothing told `not-run` may stand in a journal, nothing told `ran` may be missing from it, and
 * `unknown` is told only where a fault really made it so.
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
	/** Runs while the calls are sent; it ends with the fault healed. */
	readonly during: (pair: Pair) => Promise<void>;
	readonly slots?: number;
	readonly serviceTimeMilliseconds?: number;
	/** Whether the fault can leave an outcome unknown. */
	readonly unknown: boolean;
	/** Whether the server's journal is gone with it. */
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
	{name: 'no fault', during: async () => sleep(0), unknown: false},
	{
		name: 'the gate is frozen and woken',
		during: async ({gate}) => freeze(gate, 1000),
		unknown: true,
	},
	{
		name: 'the gate is frozen after it handed calls on',
		serviceTimeMilliseconds: 150,
		async during({gate}) {
			await sleep(100);
			await freeze(gate, 1000);
		},
		unknown: true,
	},
	{
		name: 'the ingress is frozen and woken',
		during: async ({ingress}) => freeze(ingress, 1000),
		unknown: true,
	},
	{
		name: 'the server is frozen and woken',
		async during({gate}) {
			gate.server.signal('SIGSTOP');
			await sleep(1000);
			gate.server.signal('SIGCONT');
		},
		unknown: true,
	},
	{
		name: 'the connection to the gate is reset',
		during: async ({gate}) => cutLinks(gate, 'reset'),
		unknown: true,
	},
	{
		name: 'the path to the gate is lost both ways',
		during: async ({gate}) => cutLinks(gate, 'silent'),
		unknown: true,
	},
	{
		name: 'answers of the gate are lost',
		during: async ({gate}) => cutLinks(gate, 'answers'),
		unknown: true,
	},
	{
		name: 'the gate is killed',
		async during({gate}) {
			await sleep(100);
			gate.process.signal('SIGKILL');
			await gate.process.ended;
		},
		unknown: true,
	},
	{
		name: 'deadlines pass in the queue',
		slots: 1,
		serviceTimeMilliseconds: 100,
		during: async () => sleep(0),
		unknown: false,
	},
	{
		name: 'the server sheds',
		async during({gate}) {
			await putFaults(gate, {shed: true});
			await sleep(300);
			await putFaults(gate, {shed: false});
		},
		unknown: false,
	},
];

for (const faultCase of cases) {
	test(`callers are told the truth when: ${faultCase.name}`, async context => {
		const pair = await startPair(context, faultCase);
		const [answers] = await Promise.all([
			sendCalls(pair.ingress, faultCase.name),
			faultCase.during(pair),
		]);
		await sleep(settleMilliseconds);
		const journal = await readJournal(pair.gate);
		const ran = new Set(journal.map(entry => entry.requestId));
		const told = countOutcomes(answers);
		console.log(
			`${faultCase.name}: ${JSON.stringify(told)}, in the journal: ${ran.size}`,
		);
		for (const [requestId, answer] of answers) {
			expect([requestId, answer.outcome, isTrue(answer, ran.has(requestId))]).toEqual([
				requestId,
				answer.outcome,
				true,
			]);
			if (!faultCase.unknown) {
				expect([requestId, answer.outcome]).not.toEqual([requestId, 'unknown']);
			}
		}
	});
}

function isTrue(answer: CallAnswer, isInJournal: boolean): boolean {
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
