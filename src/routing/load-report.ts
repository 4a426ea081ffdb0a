/**
 * The load that a gate reports with its responses, as the value of one short header: requests in
 * flight, requests queued, service time in tenths of a millisecond, and slots, comma-separated.
 */
export const loadHeaderName = 'foxtailtide-load';

const fieldCount = 4;
/** Maximum number of digits of a field; longer fields are invalid. */
const maximumFieldDigits = 9;
const zeroCode = 48;
const nineCode = 57;
const tenthsPerMillisecond = 10;

/** Maximum length of an encoded report, in bytes. */
export const maximumLoadValueBytes = fieldCount * (maximumFieldDigits + 1) - 1;

/** The load of one server, as counted by its gate. */
export type LoadReport = {
	/** Requests running at the server. */
	readonly inFlight: number;
	/** Requests waiting at the gate. */
	readonly queued: number;
	/** Recent mean service time. */
	readonly serviceMilliseconds: number;
	/** Requests that the server runs concurrently. */
	readonly slots: number;
};

/**
 * @param report the load
 * @returns the header value
 */
export function encodeLoadReport(report: LoadReport): string {
	const tenths = Math.round(report.serviceMilliseconds * tenthsPerMillisecond);
	return `${report.inFlight},${report.queued},${tenths},${report.slots}`;
}

/**
 * @param value the header value as received
 * @returns the load, or undefined if the value is not a valid report
 */
export function decodeLoadReport(value: string | undefined): LoadReport | undefined {
	if (value === undefined || value.length > maximumLoadValueBytes) {
		return undefined;
	}

	const fields = value.split(',');
	if (fields.length !== fieldCount || !fields.every(field => isNumber(field))) {
		return undefined;
	}

	return {
		inFlight: Number(fields[0]),
		queued: Number(fields[1]),
		serviceMilliseconds: Number(fields[2]) / tenthsPerMillisecond,
		slots: Number(fields[3]),
	};
}

function isNumber(field: string): boolean {
	if (field.length === 0 || field.length > maximumFieldDigits) {
		return false;
	}

	for (let index = 0; index < field.length; index += 1) {
		const code = field.codePointAt(index)!;
		if (code < zeroCode || code > nineCode) {
			return false;
		}
	}

	return true;
}
