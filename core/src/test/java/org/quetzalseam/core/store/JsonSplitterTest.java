package org.quetzalseam.core.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JsonSplitterTest {
    @Test
    void anObjectsValuesAreFoundWithoutBeingParsed() {
        assertThat(JsonSplitter.fields(" { \"a\" : {\"b\":[1,\"}\\\"]\"]} , \"c\":nonsense,\"d\":\"\\\\\" } "))
                .containsEntry("a", "{\"b\":[1,\"}\\\"]\"]}")
                .containsEntry("c", "nonsense")
                .containsEntry("d", "\"\\\\\"")
                .hasSize(3);
        assertThat(JsonSplitter.fields("{}")).isEmpty();
    }

    @Test
    void aListsValuesAreFoundWithoutBeingParsed() {
        assertThat(JsonSplitter.elements("[1, [2,3] ,{\"a\":\"]\"},\"\\u0000\"]"))
                .containsExactly("1", "[2,3]", "{\"a\":\"]\"}", "\"\\u0000\"");
        assertThat(JsonSplitter.elements("[ ]")).isEmpty();
    }

    @Test
    void deeplyNestedValuesDoNotOverflowTheStack() {
        String deep = "[".repeat(500_000) + "]".repeat(500_000);
        assertThat(JsonSplitter.elements("[" + deep + ",1]")).containsExactly(deep, "1");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "", " ", "[", "]", "[1", "[1,", "[1,]", "[,1]", "[1 2]", "[1]x", "[\"a]", "[\"\\", "{}", "[[1]", "[1]]"
            })
    void anythingButOneCompleteListIsRejected(String text) {
        assertThatThrownBy(() -> JsonSplitter.elements(text)).isInstanceOf(UnreadableException.class);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "}",
                "{\"a\"",
                "{\"a\":",
                "{\"a\":1",
                "{\"a\":1,}",
                "{\"a\" 1}",
                "{:1}",
                "{\"a\":}",
                "[]"
            })
    void anythingButOneCompleteObjectIsRejected(String text) {
        assertThatThrownBy(() -> JsonSplitter.fields(text)).isInstanceOf(UnreadableException.class);
    }
}
