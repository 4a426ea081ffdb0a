/** Property-based tests of record merging, the codec and the byte budget. */
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {createByteBudget, refillBudget, spendBytes} from '../../src/membership/budget.js';
import {
	decodePacket,
	encodePacket,
	maximumDatagramBytes,
	measureRumour,
	reserveSpace,
} from '../../src/membership/codec.js';
import {memberStatuses} from '../../src/membership/member.js';
import {type Body, type Packet, type Rumour} from '../../src/membership/message.js';
import {
	compareStandings,
	combineRecord,
	createRecord,
	mergeRecord,
	mergeStanding,
	type MemberRecord,
	type Standing,
} from '../../src/membership/record.js';
import {describeMember} from './simulated-mesh.js';

const run = {seed: 20_261_204, numRuns: 500};

const status = fc.constantFrom(...Object.values(memberStatuses));
const small = fc.integer({min: 0, max: 3});
const name = fc.string({minLength: 1, maxLength: 40});
const port = fc.integer({min: 1, max: 65_535});
const host = fc.oneof(fc.ipV4(), fc.ipV6());
const standing: fc.Arbitrary<Standing> = fc.record(
	{incarnation: small, revision: small, status},
	{noNullPrototype: true},
);

/** Records of one node; its detail is always the same for an incarnation and revision. */
const record: fc.Arbitrary<MemberRecord> = fc
	.record({
		incarnation: small,
		detailRevision: small,
		laterBy: small,
		revision: small,
		status,
	})
	.map(({incarnation, detailRevision, laterBy, revision, status: given}) => {
		const member = describeMember({
			nodeId: 'node-0',
			incarnation,
			slots: incarnation * 10 + detailRevision,
		});
		const ownStanding = {incarnation: incarnation + laterBy, revision, status: given};
		return combineRecord(member, detailRevision, ownStanding);
	});

const anyRecord: fc.Arbitrary<MemberRecord> = fc
	.record({
		nodeId: name,
		incarnation: fc.maxSafeNat().map(number => Math.floor(number / 2)),
		host,
		peerPort: port,
		controlPort: port,
		region: name,
		failureDomain: name,
		service: fc.option(name, {nil: undefined}),
		slots: fc.nat(),
		detailRevision: fc.nat(),
		laterBy: small,
		revision: fc.nat(),
		status,
	})
	.map(({detailRevision, laterBy, revision, status: given, ...member}) =>
		combineRecord({...member, status: given, revision}, detailRevision, {
			incarnation: member.incarnation + laterBy,
			revision,
			status: given,
		}),
	);

const rumour: fc.Arbitrary<Rumour> = fc.oneof(
	fc.record({kind: fc.constant('detail' as const), record: anyRecord}),
	fc.record({kind: fc.constant('standing' as const), nodeId: name, standing}),
	fc.record({
		kind: fc.constant('version' as const),
		topic: name,
		version: fc.maxSafeNat(),
	}),
	fc.record({
		kind: fc.constant('announcement' as const),
		id: name,
		payload: fc.uint8Array({maxLength: 60}),
		remainingMilliseconds: fc.nat(),
	}),
);

const body: fc.Arbitrary<Body> = fc.oneof(
	fc.constant({kind: 'gossip' as const}),
	fc.constant({kind: 'syncPage' as const}),
	fc.record({kind: fc.constant('ping' as const), sequence: fc.nat(), target: name}),
	fc.record({
		kind: fc.constant('acknowledgement' as const),
		sequence: fc.nat(),
		reached: fc.boolean(),
	}),
	fc.record({
		kind: fc.constant('indirectPing' as const),
		sequence: fc.nat(),
		target: name,
		host,
		controlPort: port,
	}),
	fc.record({
		kind: fc.constant('syncRequest' as const),
		digests: fc.array(fc.nat(), {maxLength: 128}),
		services: fc.array(name, {maxLength: 5}),
		isReply: fc.boolean(),
		newsDigest: fc.nat(),
	}),
);

const kindOrder = ['detail', 'standing', 'version', 'announcement'];

/** Groups rumours by kind, as the encoding does, and makes payloads comparable. */
function normalize(packet: Packet): unknown {
	const rumours = packet.rumours
		.toSorted(
			(left, right) => kindOrder.indexOf(left.kind) - kindOrder.indexOf(right.kind),
		)
		.map(item =>
			item.kind === 'announcement' ? {...item, payload: [...item.payload]} : item,
		);
	return structuredClone({...packet, rumours});
}

test('merging records is commutative, associative and idempotent', () => {
	const property = fc.property(record, record, record, (first, second, third) => {
		expect(mergeRecord(first, second)).toEqual(mergeRecord(second, first));
		expect(mergeRecord(mergeRecord(first, second), third)).toEqual(
			mergeRecord(first, mergeRecord(second, third)),
		);
		expect(mergeRecord(first, first)).toExactlyEqual(first);
		const merged = mergeRecord(first, second);
		expect(mergeRecord(merged, second)).toExactlyEqual(merged);
	});
	fc.assert(property, run);
});

test('merging standings never lowers a standing and does not depend on their order', () => {
	const property = fc.property(record, fc.array(standing), (current, claims) => {
		let forward = current;
		for (const claim of claims) {
			const next = mergeStanding(forward, claim);
			expect(compareStandings(next.standing, forward.standing)).toBeGreaterThanOrEqual(0);
			forward = next;
		}

		let backward = current;
		for (const claim of claims.toReversed()) {
			backward = mergeStanding(backward, claim);
		}

		expect(forward).toEqual(backward);
	});
	fc.assert(property, run);
});

test('decoding an encoded packet gives the same packet', () => {
	const property = fc.property(
		name,
		body,
		fc.array(rumour, {maxLength: 6}),
		(from, ...rest) => {
			const packet: Packet = {from, body: rest[0], rumours: rest[1]};
			const decoded = decodePacket(encodePacket(packet))._unsafeUnwrap();
			expect(normalize(decoded)).toEqual(normalize(packet));
		},
	);
	fc.assert(property, run);
});

// Sockets throw at such ports and addresses: one packet with them ended the process.
test('packets with addresses that nothing can be sent to are refused', () => {
	const hosts = ['', 'a b', '256.1.1.1', 'node', '10.0.0.1\n'];
	const addresses = [
		...hosts.map(host => ({host, peerPort: 1, controlPort: 1})),
		{host: '10.0.0.1', peerPort: 0, controlPort: 1},
		{host: '10.0.0.1', peerPort: 1, controlPort: 0},
		{host: '10.0.0.1', peerPort: 65_536, controlPort: 1},
	];
	const from = 'node';
	for (const address of addresses) {
		const member = {...describeMember({nodeId: 'other'}), ...address};
		const detail: Rumour = {kind: 'detail', record: createRecord(member)};
		const gossip: Packet = {from, body: {kind: 'gossip'}, rumours: [detail]};
		expect(decodePacket(encodePacket(gossip)).isErr()).toEqual(true);
		const {host, peerPort, controlPort} = address;
		const port = peerPort === 1 ? controlPort : peerPort;
		const ping = {sequence: 1, target: 'other', host, controlPort: port};
		const body: Body = {kind: 'indirectPing', ...ping};
		expect(decodePacket(encodePacket({from, body, rumours: []})).isErr()).toEqual(true);
	}
});

test('rumours that fit by their computed size never exceed a datagram', () => {
	const rumours = fc.array(rumour, {minLength: 20, maxLength: 120});
	const property = fc.property(name, body, rumours, (from, given, offered) => {
		const bare = encodePacket({from, body: given, rumours: []}).length;
		const space = {bytes: maximumDatagramBytes - bare, names: new Set<string>()};
		const taken = offered.filter(item => reserveSpace(space, measureRumour(item)));
		const bytes = encodePacket({from, body: given, rumours: taken}).length;
		expect(bytes).toBeLessThanOrEqual(Math.max(bare, maximumDatagramBytes));
	});
	fc.assert(property, {...run, numRuns: 200});
});

test('malformed bytes give a typed error and no exception', () => {
	const property = fc.property(fc.uint8Array({maxLength: 200}), bytes => {
		const decoded = decodePacket(Buffer.from(bytes));
		if (decoded.isErr()) {
			expect(decoded.error.kind).toEqual('malformed-packet');
		}
	});
	fc.assert(property, {...run, numRuns: 2000});
	expect(decodePacket(new Uint8Array()).isErr()).toEqual(true);
});

test('the byte budget never exceeds its rate and burst', () => {
	const step = fc.record({wait: fc.nat({max: 500}), bytes: fc.nat({max: 2000})});
	const property = fc.property(fc.array(step), steps => {
		const budget = createByteBudget(3000, 6000, 0);
		let now = 0;
		for (const {wait, bytes} of steps) {
			now += wait;
			refillBudget(budget, now);
			spendBytes(budget, bytes);
			expect(budget.spentBytes).toBeLessThanOrEqual(6000 + 3 * now);
			expect(budget.tokens).toBeGreaterThanOrEqual(0);
		}
	});
	fc.assert(property, run);
});
