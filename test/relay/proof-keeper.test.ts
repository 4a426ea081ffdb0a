/** When questions for a proof are due, and what nodes tell each other of the table's clock. */
import {test} from 'node:test';
import {expect} from 'earl';
import {
	nextPeerQuestionAt,
	nextTableQuestionAt,
	proofRoles,
} from '../../src/proven-age/index.js';
import {formatKnowledge, parseKnowledge} from '../../src/relay/peer-proof.js';

const base = {
	limitMilliseconds: 5000,
	isKeyLimited: true,
	provenAt: 10_000,
	askedAt: Number.NEGATIVE_INFINITY,
	failures: 0,
	failedAt: 0,
	answeredAt: 10_000,
	jitter: 0.5,
};

test('the node with the newest answer asks first, then the pollers, then any node', () => {
	const dueAt = Object.values(proofRoles).map(role =>
		nextTableQuestionAt({...base, role}),
	);
	expect(dueAt.map(at => Math.round(at - base.provenAt))).toEqual([750, 1375, 1900]);
});

test('without keys nodes ask later, and no later at the latest', () => {
	const listDue = (jitter: number) =>
		Object.values(proofRoles).map(role =>
			Math.round(
				nextTableQuestionAt({...base, role, jitter, isKeyLimited: false}) - base.provenAt,
			),
		);
	expect(listDue(0)).toEqual([1100, 1600, 1800]);
	expect(listDue(1)).toEqual([1100, 1800, 2200]);
});

test('failed questions pause longer each time, and longest at nodes that do not poll', () => {
	const pauses = [1, 2, 3, 9].map(failures => {
		const failed = {...base, provenAt: 0, failures, failedAt: 20_000};
		return [proofRoles.poller, proofRoles.other].map(
			role => nextTableQuestionAt({...failed, role}) - 20_000,
		);
	});
	expect(pauses).toEqual([
		[200, 1000],
		[400, 2000],
		[600, 3000],
		[600, 3000],
	]);
});

test('another node is asked for a bound, and for a proof only while the table does not answer', () => {
	const peer = {...base, newestAt: 10_000, needsBound: false, askedAt: 10_000};
	expect(nextPeerQuestionAt(peer)).toEqual(Number.POSITIVE_INFINITY);
	expect(nextPeerQuestionAt({...peer, failures: 1})).toEqual(12_000);
	expect(nextPeerQuestionAt({...peer, needsBound: true})).toEqual(10_300);
});

test('what a node knows of the clock passes through its header, and nothing else is taken', () => {
	const proof = {era: 2, provenAt: 88, version: 7};
	const knowledge = {era: 2, storeTime: 99, proof};
	expect(parseKnowledge(formatKnowledge(knowledge))).toEqual(knowledge);
	expect(parseKnowledge('1 5')).toEqual({era: 1, storeTime: 5, proof: undefined});
	for (const text of [undefined, '', '1', '1 x', '1 5 2 NaN 3', '1e400 3']) {
		expect(parseKnowledge(text)).toEqual(undefined);
	}
});
