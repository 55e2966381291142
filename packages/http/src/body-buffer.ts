/** Capacity of a buffer whose body has no declared length, in bytes. */
const initialCapacityBytes = 4096;

/** Largest capacity that is allocated because of a declared length alone, in bytes; a larger buffer grows with the body. */
const maximumDeclaredBytes = 134_217_728;

/**
 * Collects a body in one contiguous buffer. A list of the chunks would cost some hundred bytes for each of them, so a body in
 * chunks of one byte would take a multiple of its size.
 */
export class BodyBuffer {
	#bytes: Buffer;
	#length = 0;

	/**
	 * @param declaredBytes - Expected size of the body in bytes, if it is known.
	 */
	constructor(declaredBytes = 0) {
		this.#bytes = Buffer.allocUnsafe(Math.min(declaredBytes, maximumDeclaredBytes));
	}

	/** Size of the collected body in bytes. */
	get length(): number {
		return this.#length;
	}

	/**
	 * Appends a copy of a chunk.
	 *
	 * @param chunk - The next bytes of the body.
	 */
	append(chunk: Uint8Array): void {
		this.#reserve(this.#length + chunk.length);
		this.#bytes.set(chunk, this.#length);
		this.#length += chunk.length;
	}

	/**
	 * Takes the collected bytes; the buffer is empty afterwards.
	 *
	 * @returns The bytes in the order in which they were appended.
	 */
	take(): Buffer {
		const taken = this.#bytes.subarray(0, this.#length);
		this.#bytes = Buffer.alloc(0);
		this.#length = 0;
		return taken;
	}

	/** Makes room for a number of bytes; the capacity at least doubles, so that each byte is copied a few times at most. */
	#reserve(bytes: number): void {
		if (bytes <= this.#bytes.length) {
			return;
		}

		const larger = Buffer.allocUnsafe(Math.max(bytes, 2 * this.#bytes.length, initialCapacityBytes));
		larger.set(this.#bytes.subarray(0, this.#length));
		this.#bytes = larger;
	}
}
