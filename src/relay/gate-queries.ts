/**
 * Queries gates for their load and remembers the last answer of each. A gate that did not answer in
 * time is not waited for during a while; an answer that comes late ends that, and still shows the
 * round trip.
 */
import type {Member} from '../membership/index.js';
import type {Candidate, GateReport} from '../placing/index.js';
import {distanceOf, type NodeLocation, type RoundTrips} from './distances.js';
import type {GateSocket, TimedGateReport} from './gate-socket.js';
import type {LoadQuestion, RelayGate} from './gate-types.js';

export type GateQueriesOptions = {
	readonly location: NodeLocation;
	readonly gate: Pick<RelayGate, 'report'>;
	readonly socket: Pick<GateSocket, 'queryLoad'>;
	readonly roundTrips: RoundTrips;
	/** Called with each answer of another node's gate that came in time. */
	readonly onReport: (member: Member, report: GateReport) => void;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
};

export type GateQueries = {
	/** Queries a gate, this node's own or another; waits for the answer unless the gate is silent. */
	readonly query: (member: Member, question: LoadQuestion) => Promise<void>;
	/** The member as a candidate for a call, with its last answer. */
	readonly describeCandidate: (member: Member) => Candidate;
	/** Age of its last answer in milliseconds; zero if there is none. */
	readonly reportAge: (nodeId: string) => number;
};

type GateObservation = {
	report: TimedGateReport | undefined;
	/** Monotonic time in milliseconds. */
	heardAt: number;
	/** Monotonic time in milliseconds. */
	silentUntil: number;
	roundTripMilliseconds: number;
};

/** Time during which calls do not wait for a gate that did not answer. */
const silentGateBackoffMilliseconds = 1000;
const roundTripWeight = 0.2;

/**
 * Creates the queries of a node, without any answers.
 *
 * @param options the node's location, its gate, the socket and the clock
 * @returns the operations on them
 */
export function createGateQueries(options: GateQueriesOptions): GateQueries {
	const {now, location, roundTrips} = options;
	const observations = new Map<string, GateObservation>();

	function findObservation(member: Member): GateObservation {
		const known = observations.get(member.nodeId);
		if (known) {
			return known;
		}

		const created: GateObservation = {
			report: undefined,
			heardAt: Number.NEGATIVE_INFINITY,
			silentUntil: Number.NEGATIVE_INFINITY,
			roundTripMilliseconds: roundTrips.expect(member),
		};
		observations.set(member.nodeId, created);
		return created;
	}

	async function queryOther(member: Member, question: LoadQuestion): Promise<void> {
		const observation = findObservation(member);
		const query = options.socket.queryLoad(
			{host: member.host, port: member.peerPort},
			question,
			roundTrips.timeoutOf(member),
			late => {
				roundTrips.record(member, late.roundTripMilliseconds);
				if (now() < observation.silentUntil) {
					recordReport(observation, late);
				}
			},
		);
		const settled = query.then(report => {
			recordReport(observation, report);
			if (report) {
				roundTrips.record(member, report.roundTripMilliseconds);
				options.onReport(member, report);
			}
		});
		if (now() < observation.silentUntil) {
			return;
		}

		await settled;
	}

	function recordReport(
		observation: GateObservation,
		report: TimedGateReport | undefined,
	): void {
		if (report === undefined) {
			observation.report = undefined;
			observation.silentUntil = now() + silentGateBackoffMilliseconds;
			return;
		}

		observation.report = report;
		observation.heardAt = now();
		observation.silentUntil = Number.NEGATIVE_INFINITY;
		observation.roundTripMilliseconds +=
			(report.roundTripMilliseconds - observation.roundTripMilliseconds) *
			roundTripWeight;
	}

	async function queryLocal(member: Member, question: LoadQuestion): Promise<void> {
		const report = await options.gate.report({...question, bodyBytes: 0});
		recordReport(findObservation(member), {...report, roundTripMilliseconds: 0});
	}

	return {
		async query(member, question) {
			await (member.nodeId === location.nodeId
				? queryLocal(member, question)
				: queryOther(member, question));
		},
		describeCandidate(member) {
			const {report, roundTripMilliseconds} = findObservation(member);
			const distance = distanceOf(member, location);
			return {nodeId: member.nodeId, distance, report, roundTripMilliseconds};
		},
		reportAge: nodeId => now() - (observations.get(nodeId)?.heardAt ?? now()),
	};
}
