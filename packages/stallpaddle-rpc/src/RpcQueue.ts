/**
 * Unbounded queue that feeds the messages of a writer to a stream as an async iterable.
 */
export class RpcQueue<Message> {
  private ended = false;
  private messages: Message[] = [];
  private wake = (): void => {};

  /**
   * Adds a message.
   *
   * @param message the message
   */
  add(message: Message): void {
    this.messages.push(message);
    this.wake();
  }

  /** Ends the iterable once all messages were taken. */
  end(): void {
    this.ended = true;
    this.wake();
  }

  /** Iterates over all messages until the queue is ended; for one consumer. */
  async *take(): AsyncGenerator<Message> {
    for (;;) {
      const {messages} = this;
      this.messages = [];
      yield* messages;
      if (this.messages.length > 0) {
        continue;
      }
      if (this.ended) {
        return;
      }
      await new Promise<void>((resolve) => {
        this.wake = resolve;
      });
    }
  }
}
